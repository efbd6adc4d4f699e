// How fast a queue drains, from the time that calls take.

#pragma once

#include "core/kernel/clock.h"

namespace fescuepond
{

/// Nobody is told to come back later than this: the load may have gone long before.
constexpr Duration LongestRetryAfter = std::chrono::seconds(2);

class DrainEstimate
{
public:
    /// A call that held a slot for `time` has ended.
    void add(Duration time);
    /// Between two calls that end while all of `slots` are taken; zero: not known yet.
    Duration interval(double slots) const;

private:
    Duration m_meanTime{}; ///< Moving average; zero: no call has ended yet.
};

} // namespace fescuepond
