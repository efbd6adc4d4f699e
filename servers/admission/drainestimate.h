// How fast a queue drains, from the time that calls take.

#pragma once

#include "core/kernel/clock.h"

#include <cstddef>

namespace fescuepond
{

/// Nobody is told to come back later than this: the load may have gone long before.
constexpr Duration MaxRetryAfter = std::chrono::seconds(2);

class DrainEstimate
{
public:
    /// A call that held a slot for `time` has ended.
    void add(Duration time);
    /// How long it takes until `waiting` calls have each got one of `slots`; zero: not known yet.
    Duration drainTime(std::size_t waiting, double slots) const;

private:
    Duration m_meanHoldTime{}; ///< Moving average; zero: no call has ended yet.
};

} // namespace fescuepond
