// Compares two texts of a settings file.

#pragma once

#include "core/kernel/finding.h"
#include "core/settings/nodesettings.h"

#include <string>

namespace fescuepond
{

/// The keys whose values differ, in the order of the table of settings; a missing key has its default value. A text
/// that is not a YAML map is a finding.
Result<StringList> changedSettings(const std::string &file, const std::string &before, const std::string &after);

} // namespace fescuepond
