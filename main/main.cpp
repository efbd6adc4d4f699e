// The command line: finds the verb, parses its flags and runs it.

#include "core/verbs/verb.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
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

bool isHelpFlag(const std::string &argument)
{
    return argument == "--help" || argument == "-h";
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 2) {
        printUsage(stderr);
        return static_cast<int>(ExitCode::Usage);
    }
    const std::string name = argv[1];
    if (isHelpFlag(name)) {
        printUsage(stdout);
        return static_cast<int>(ExitCode::Done);
    }
    const auto &verbs = registeredVerbs();
    const auto verb = std::find_if(verbs.begin(), verbs.end(), [&](const VerbDescription &candidate) {
        return candidate.name == name;
    });
    if (verb == verbs.end()) {
        fmt::print(stderr, "no verb '{}'\n", name);
        printUsage(stderr);
        return static_cast<int>(ExitCode::Usage);
    }
    if (std::any_of(argv + 2, argv + argc, isHelpFlag)) {
        printHelp(*verb);
        return static_cast<int>(ExitCode::Done);
    }
    // The verb takes the place of the program's name, so that only its flags and arguments are left.
    int verbArgc = argc - 1;
    char **verbArgv = argv + 1;
    gflags::ParseCommandLineNonHelpFlags(&verbArgc, &verbArgv, true);
    return static_cast<int>(verb->run(Arguments(verbArgv + 1, verbArgv + verbArgc)));
}
