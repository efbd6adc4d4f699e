// Subcommands (verbs) of the command line. Each registers itself.

#pragma once

#include "core/kernel/finding.h"

#include <functional>
#include <string>
#include <vector>

namespace fescuepond
{

/// Process exit codes of all verbs.
enum class ExitCode {
    Done = 0,
    Findings = 1, ///< The input has errors, or work in flight was aborted.
    Usage = 2,
    Unreachable = 3,
    Conflict = 4, ///< The object was changed concurrently.
};

using Arguments = std::vector<std::string>;

struct VerbDescription {
    std::string name;
    std::string arguments; ///< As shown in the usage line.
    std::string summary;
    std::vector<std::string> flags; ///< Names of the gflags that the verb accepts.
    std::function<ExitCode(const Arguments &)> run;
};

class VerbRegistration
{
public:
    explicit VerbRegistration(VerbDescription verb);
};

/// Runs the body of a verb. If it fails, its findings are printed to standard error.
ExitCode reportFindings(const std::function<Result<ExitCode>()> &body);

/// All verbs, sorted by name.
const std::vector<VerbDescription> &registeredVerbs();

} // namespace fescuepond
