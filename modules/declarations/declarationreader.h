// Parses and checks the operators' declarations of services and kinds of work, which are written in YAML.

#pragma once

#include "core/kernel/finding.h"
#include "core/kernel/yaml.h"
#include "core/values/declaration.h"

#include <string>
#include <vector>

namespace fescuepond
{

/// Parses the declaration of one service. `file` is its name in findings; all findings are reported together.
Result<ServiceDeclaration> readDeclaration(const std::string &file, const std::string &text);

/// Parses all declaration files below the folders and returns the services by name. All findings are reported together.
Result<ServiceMap> collectDeclarations(const std::vector<std::string> &folders);

/// Parses the declaration of one service from a YAML node and adds its findings to `findings`.
ServiceDeclaration readService(const std::string &file, const YAML::Node &node, Findings &findings);

} // namespace fescuepond
