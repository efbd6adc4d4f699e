// Moving average of the time that calls hold a slot.

#include "servers/admission/drainestimate.h"

#include <algorithm>
#include <cstdint>

namespace fescuepond
{

namespace
{
constexpr int SmoothingSamples = 32;
} // namespace

void DrainEstimate::add(Duration time)
{
    const bool isFirst = m_meanHoldTime == Duration::zero();
    m_meanHoldTime = isFirst ? time : m_meanHoldTime + (time - m_meanHoldTime) / SmoothingSamples;
}

Duration DrainEstimate::drainTime(std::size_t waiting, double slots) const
{
    const auto interval = std::chrono::duration_cast<Duration>(m_meanHoldTime / std::max(1.0, slots));
    return interval * static_cast<std::int64_t>(waiting);
}

} // namespace fescuepond
