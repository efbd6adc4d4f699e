// What a backend server says of itself in its answers, apart from the answer.

#pragma once

#include "core/value.h"

#include <compare>
#include <cstdint>
#include <string>

namespace fescuepond
{

/// A lower rate is taken for this one: with no call at all, no answer could end the limit.
constexpr double MinNamedRate = 0.25;

/// Travels to the callers' nodes with each outcome, and back with the calls that these nodes send to the same node, so
/// that a node which has restarted learns what its backend server said before.
class BackendNotice
{
    /// Calls a second that the backend server takes from all nodes together; 0: it names no limit.
    FESCUEPOND_FIELD(double, rate, withRate);
    /// The instance of the backend server that is about to leave; empty: none.
    FESCUEPOND_FIELD(std::string, leavingInstance, withLeavingInstance);
    /// When that instance started, since a later one may have its name; 0: not known.
    FESCUEPOND_FIELD(std::uint64_t, leavingStartedAtMs, withLeavingStartedAtMs);

public:
    bool isEmpty() const
    {
        return m_rate <= 0 && m_leavingInstance.empty();
    }
    friend auto operator<=>(const BackendNotice &, const BackendNotice &) = default;
};

} // namespace fescuepond
