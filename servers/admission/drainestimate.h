// Estimates how fast a queue drains, from the mean time that calls hold a slot.

#pragma once

#include "core/kernel/clock.h"

#include <cstddef>

namespace fescuepond
{

/// Upper bound of the Retry-After time: the overload may end long before a longer estimate.
constexpr Duration MaxRetryAfter = std::chrono::seconds(2);

class DrainEstimate
{
public:
    /// Adds the time that a completed call held a slot.
    void add(Duration time);
    /// Estimated time until each of `waiting` calls has got one of `slots`; zero if there is no estimate yet.
    Duration drainTime(std::size_t waiting, double slots) const;
    Duration meanHoldTime() const
    {
        return m_meanHoldTime;
    }

private:
    Duration m_meanHoldTime{}; ///< Moving average; zero until a call has completed.
};

} // namespace fescuepond
