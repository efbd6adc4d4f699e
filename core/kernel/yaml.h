// Reads YAML and reports errors as findings with line and column.

#pragma once

#include "core/kernel/finding.h"

#include <yaml-cpp/yaml.h>

#include <string>

namespace fescuepond
{

/// A finding at the location of `node`.
Finding findingAt(const std::string &file, const YAML::Node &node, std::string message);

/// Parses `text`; a syntax error is a finding.
Result<YAML::Node> loadYaml(const std::string &file, const std::string &text);

Result<std::string> readTextFile(const std::string &path);

} // namespace fescuepond
