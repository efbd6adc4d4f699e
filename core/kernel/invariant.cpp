// Logs a violated invariant and aborts.

#include "core/kernel/invariant.h"

#include "core/kernel/eventlog.h"

#include <fmt/format.h>

#include <cstdio>
#include <cstdlib>

namespace fescuepond::detail
{

void invariantBroken(const char *message)
{
    {
        Event("invariant_broken").with("invariant", message);
    }
    fmt::print(stderr, "invariant broken: {}\n", message);
    std::abort();
}

} // namespace fescuepond::detail
