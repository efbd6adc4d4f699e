// Assertions that are checked in every build, release builds included.

#pragma once

namespace fescuepond
{

namespace detail
{
[[noreturn]] void invariantBroken(const char *message);
}

/// Logs `message`, which states the invariant, and aborts the process if `holds` is false: the process must not go on
/// with state that is known to be wrong.
inline void invariant(bool holds, const char *message)
{
    if (!holds) {
        detail::invariantBroken(message);
    }
}

} // namespace fescuepond
