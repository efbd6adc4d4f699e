// Averages the time that calls hold their slots.

#include "servers/admission/drainestimate.h"

#include <algorithm>

namespace fescuepond
{

namespace
{
constexpr int AveragedCalls = 32;
} // namespace

void DrainEstimate::add(Duration time)
{
    const bool isFirst = m_meanTime == Duration::zero();
    m_meanTime = isFirst ? time : m_meanTime + (time - m_meanTime) / AveragedCalls;
}

Duration DrainEstimate::interval(double slots) const
{
    return std::chrono::duration_cast<Duration>(m_meanTime / std::max(1.0, slots));
}

} // namespace fescuepond
