// Where the published configuration stands in the object store, and how its text is read.

#pragma once

#include "core/kernel/finding.h"
#include "core/values/declaration.h"

#include <string>

namespace fescuepond
{

class ConfigurationFormat
{
public:
    virtual ~ConfigurationFormat() = default;
    virtual std::string collection() const = 0;
    virtual std::string object() const = 0;
    /// Reads a whole configuration; all faults are reported together.
    virtual Result<Configuration> read(const std::string &text, ObjectVersion version) const = 0;
};

} // namespace fescuepond
