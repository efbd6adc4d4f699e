// Invariants: the report of a broken one.

#include "core/kernel/invariant.h"

#include "core/kernel/eventlog.h"

#include <cstdlib>

namespace fescuepond::detail
{

void invariantBroken(const char *message)
{
    {
        Event("invariant_broken").with("invariant", message);
    }
    std::abort();
}

} // namespace fescuepond::detail
