// Verbs of the command line. Each is a plug-in of the binary that registers itself.

#pragma once

#include "core/kernel/finding.h"

#include <functional>
#include <string>
#include <vector>

namespace fescuepond
{

/// Exit codes of all verbs.
enum class ExitCode {
    Done = 0,
    Findings = 1, ///< The input has faults, or work was cut off.
    Usage = 2,
    Unreachable = 3,
    Conflict = 4, ///< Somebody else's change came first.
};

using Arguments = std::vector<std::string>;

struct VerbDescription {
    std::string name;
    std::string arguments; ///< As shown in the usage line.
    std::string summary;
    std::vector<std::string> flags; ///< Names of the gflags that it takes.
    std::function<ExitCode(const Arguments &)> run;
};

class VerbRegistration
{
public:
    explicit VerbRegistration(VerbDescription verb);
};

/// Runs the body of a verb. When it fails, its findings are printed on standard error.
ExitCode reportFindings(const std::function<Result<ExitCode>()> &body);

/// All verbs, by name.
const std::vector<VerbDescription> &registeredVerbs();

} // namespace fescuepond
