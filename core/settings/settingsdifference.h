// Which settings two texts of a settings file state differently.

#pragma once

#include "core/kernel/finding.h"
#include "core/settings/nodesettings.h"

#include <string>

namespace fescuepond
{

/// The keys whose values differ, in the order of the table of settings. A text that is not a map of settings is a
/// finding.
Result<StringList> changedSettings(const std::string &file, const std::string &before, const std::string &after);

} // namespace fescuepond
