// The location of the published configuration in the object store, and its text format.

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
    /// Parses a complete configuration, with the version that it carries, which is above 0. All errors are reported
    /// together.
    virtual Result<Configuration> read(const std::string &text) const = 0;
};

} // namespace fescuepond
