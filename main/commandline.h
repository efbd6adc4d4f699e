// Parses the command line: a verb, its flags and its arguments.

#pragma once

#include "core/verbs/verb.h"

#include <string>
#include <vector>

namespace fescuepond
{

/// A parsed command line.
struct CommandLine {
    const VerbDescription *verb = nullptr; ///< Null if none was given or no verb of that name is registered.
    bool wantsHelp = false;
    Arguments arguments;
    std::vector<std::string> errors; ///< If there are any, the verb isn't run.
};

/// Parses `words`, the program's arguments without its name, and sets the gflags of the verb. A flag that the verb does
/// not accept is an error, even if another verb accepts it.
CommandLine parseCommandLine(const std::vector<std::string> &words);

} // namespace fescuepond
