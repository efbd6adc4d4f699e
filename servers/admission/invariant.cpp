// Invariants that are asserted inside the program, in every build.

#include "servers/admission/invariant.h"

#include <fmt/format.h>

#include <cstdio>
#include <cstdlib>

namespace fescuepond
{

void invariantBroken(std::string_view name)
{
    fmt::print(stderr, "event=invariant_broken name=\"{}\"\n", name);
    std::abort();
}

} // namespace fescuepond
