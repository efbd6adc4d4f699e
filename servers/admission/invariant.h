// Invariants that are asserted inside the program, in every build.

#pragma once

#include <string_view>

namespace fescuepond
{

/// Ends the program with one line on standard error that names the broken invariant.
[[noreturn]] void invariantBroken(std::string_view name);

inline void checkInvariant(bool holds, std::string_view name)
{
    if (!holds) {
        invariantBroken(name);
    }
}

} // namespace fescuepond
