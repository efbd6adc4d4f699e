// Reads the operators' declarations in YAML.

#pragma once

#include "core/kernel/finding.h"
#include "core/kernel/yaml.h"
#include "core/values/declaration.h"

#include <string>
#include <vector>

namespace fescuepond
{

/// Reads the declaration of one service. `file` names it in findings; all faults are reported together.
Result<ServiceDeclaration> readDeclaration(const std::string &file, const std::string &text);

/// Collects the declaration files under the folders, checks all, and returns their services by name.
Result<ServiceMap> collectDeclarations(const std::vector<std::string> &folders);

/// Reads the declaration of one service from a YAML node and adds what is wrong with it to `findings`.
ServiceDeclaration readService(const std::string &file, const YAML::Node &node, Findings &findings);

} // namespace fescuepond
