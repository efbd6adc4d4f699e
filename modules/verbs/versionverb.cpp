// `fescuepond version`: prints the program's version.

#include "core/verbs/verb.h"

#include <fmt/format.h>

namespace fescuepond
{

namespace
{

constexpr const char *Version = "0.1.0";

ExitCode run(const Arguments &)
{
    fmt::print("fescuepond {}\n", Version);
    return ExitCode::Done;
}

const VerbRegistration registration({"version", "", "Prints the version.", {}, run});

} // namespace

} // namespace fescuepond
