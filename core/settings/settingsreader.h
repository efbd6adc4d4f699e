// Reads node settings from YAML.

#pragma once

#include "core/kernel/finding.h"
#include "core/settings/nodesettings.h"

#include <string>

namespace fescuepond
{

/// Reads settings from the text of a YAML file; `file` is the file name in findings. All errors are reported
/// together.
Result<NodeSettings> readSettings(const std::string &file, const std::string &text);

/// Reads the settings file at `path`.
Result<NodeSettings> readSettingsFile(const std::string &path);

} // namespace fescuepond
