// The rate at which calls may be passed to the local backend server.

#include "servers/admission/startrate.h"

#include <algorithm>

namespace fescuepond
{

namespace
{

/// Calls may start this much before their evenly spaced time, so that a short pause doesn't lower the rate.
constexpr Duration BurstTime = std::chrono::milliseconds(200);

} // namespace

TimePoint StartRate::nextStart() const
{
    return m_perSecond > 0 ? m_theoreticalStart - BurstTime : TimePoint();
}

StartRate StartRate::afterStart(TimePoint now) const
{
    if (m_perSecond <= 0) {
        return *this;
    }
    const auto spacing = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / m_perSecond));
    return withTheoreticalStart(std::max(m_theoreticalStart, now) + spacing);
}

} // namespace fescuepond
