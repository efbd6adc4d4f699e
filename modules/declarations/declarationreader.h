// Reads and writes the operators' declarations in YAML.

#pragma once

#include "core/kernel/finding.h"
#include "core/values/declaration.h"

#include <string>
#include <vector>

namespace fescuepond
{

/// Reads the declaration of one service. `file` names it in findings; all faults are reported together.
Result<ServiceDeclaration> readDeclaration(const std::string &file, const std::string &text);

/// Collects the declaration files under the folders, checks all, and returns their services by name.
Result<ServiceMap> collectDeclarations(const std::vector<std::string> &folders);

/// The text that is published for a set of services, and back.
std::string writeConfiguration(const ServiceMap &services);
Result<Configuration> readConfiguration(const std::string &text, ObjectVersion version);

} // namespace fescuepond
