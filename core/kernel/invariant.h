// Invariants that the program asserts of itself, in every build.

#pragma once

namespace fescuepond
{

namespace detail
{
[[noreturn]] void invariantBroken(const char *message);
}

/// Ends the program when `holds` is false: state that is known to be wrong must not be acted on.
inline void invariant(bool holds, const char *message)
{
    if (!holds) {
        detail::invariantBroken(message);
    }
}

} // namespace fescuepond
