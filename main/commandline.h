// The command line: which verb, which flags and which arguments.

#pragma once

#include "core/verbs/verb.h"

#include <string>
#include <vector>

namespace fescuepond
{

/// What a command line asks for.
struct CommandLine {
    const VerbDescription *verb = nullptr; ///< Null: none was named, or none of that name is known.
    bool wantsHelp = false;
    Arguments arguments;
    std::vector<std::string> errors; ///< What is wrong with it; the verb isn't run then.
};

/// Reads `words`, the program's arguments without its name, and sets the flags of the verb. A flag that the verb
/// doesn't take is a error, also when another verb takes it.
CommandLine parseCommandLine(const std::vector<std::string> &words);

} // namespace fescuepond
