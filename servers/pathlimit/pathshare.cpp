// The share of the root requests of one path that an entry node admits.

#include "servers/pathlimit/pathshare.h"

#include <algorithm>
#include <limits>

namespace fescuepond
{

namespace
{
/// Requests that are still admitted report whether the overload has ended.
constexpr double MinShare = 0.05;
/// With this headroom, two of five calls at the bottleneck are queued: its slots never run empty, and a queued call
/// still has time left when it starts.
constexpr double TargetHeadroom = 0.6;
constexpr double MinCutFactor = 0.5; ///< Of one adjustment.
/// Answers that arrive sooner after a cut still report the load of before.
constexpr Duration CutInterval = std::chrono::milliseconds(500);
constexpr double GrowthPerSecond = 0.1;
constexpr Duration MinRetryAfter = std::chrono::milliseconds(500);

double secondsBetween(TimePoint from, TimePoint to)
{
    return std::chrono::duration<double>(to - from).count();
}
} // namespace

double PathShare::at(TimePoint now) const
{
    return std::min(1.0, m_share + GrowthPerSecond * std::max(0.0, secondsBetween(m_changedAt, now)));
}

bool PathShare::admits(std::uint64_t hash, TimePoint now) const
{
    const double share = at(now);
    return share >= 1
        || static_cast<double>(hash) < share * static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

void PathShare::update(double headroom, TimePoint now)
{
    if (headroom >= TargetHeadroom || now - m_changedAt < CutInterval) {
        return;
    }
    m_share = std::max(MinShare, at(now) * std::max(MinCutFactor, headroom / TargetHeadroom));
    m_changedAt = now;
}

Duration PathShare::retryAfter(TimePoint now) const
{
    const double missing = 1 - at(now);
    if (missing <= 0) {
        return Duration::zero();
    }
    const std::chrono::duration<double> untilAllAreAdmitted(missing / GrowthPerSecond);
    return std::max(MinRetryAfter, std::chrono::duration_cast<Duration>(untilAllAreAdmitted / 2));
}

} // namespace fescuepond
