// The rate at which calls may be passed to the local backend server, if that has named one.

#pragma once

#include "core/kernel/clock.h"
#include "core/value.h"

#include <compare>

namespace fescuepond
{

/// Spaces the starts of calls evenly (generic cell rate algorithm). In any span, at most rate * (span + BurstTime) + 1
/// calls start while the rate stays.
class StartRate
{
    FESCUEPOND_FIELD(double, perSecond, withPerSecond); ///< 0: not limited.
    /// When the calls that have started would all have started if they had been spaced evenly.
    FESCUEPOND_FIELD(TimePoint, theoreticalStart, withTheoreticalStart);

public:
    /// The earliest time at which the next call may start.
    TimePoint nextStart() const;
    /// After a call has started.
    StartRate afterStart(TimePoint now) const;
    friend auto operator<=>(const StartRate &, const StartRate &) = default;
};

} // namespace fescuepond
