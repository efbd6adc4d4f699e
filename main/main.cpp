// Entry point of the program: runs the verb that the command line names.

#include "main/commandline.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <cstdio>
#include <string>

using namespace fescuepond;

namespace
{

void printUsage(std::FILE *out)
{
    fmt::print(out, "usage: fescuepond VERB [FLAGS] [ARGUMENTS]\n\n");
    for (const VerbDescription &verb : registeredVerbs()) {
        fmt::print(out, "  {:<10} {}\n", verb.name, verb.summary);
    }
    fmt::print(out, "\n'fescuepond VERB --help' describes a verb.\n");
    fmt::print(out, "exit codes: 0 done, 1 findings, 2 usage, 3 unreachable, 4 conflict\n");
}

void printHelp(const VerbDescription &verb)
{
    fmt::print("usage: fescuepond {} {}\n\n{}\n", verb.name, verb.arguments, verb.summary);
    for (const std::string &name : verb.flags) {
        const auto flag = gflags::GetCommandLineFlagInfoOrDie(name.c_str());
        fmt::print("  --{} ({}, default '{}')\n      {}\n", flag.name, flag.type, flag.default_value, flag.description);
    }
}

} // namespace

int main(int argc, char **argv)
{
    const CommandLine line = parseCommandLine(std::vector<std::string>(argv + 1, argv + argc));
    for (const std::string &error : line.errors) {
        fmt::print(stderr, "{}\n", error);
    }
    if (!line.errors.empty()) {
        if (line.verb == nullptr) {
            printUsage(stderr);
        } else {
            fmt::print(stderr, "usage: fescuepond {} {}\n", line.verb->name, line.verb->arguments);
        }
        return static_cast<int>(ExitCode::Usage);
    }
    if (line.verb == nullptr) {
        printUsage(stdout);
        return static_cast<int>(ExitCode::Done);
    }
    if (line.wantsHelp) {
        printHelp(*line.verb);
        return static_cast<int>(ExitCode::Done);
    }
    return static_cast<int>(line.verb->run(line.arguments));
}
