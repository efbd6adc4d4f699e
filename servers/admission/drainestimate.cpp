// Averages the time that calls hold their slots.

#include "servers/admission/drainestimate.h"

#include <algorithm>
#include <cstdint>

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

Duration DrainEstimate::timeFor(std::size_t waiting, double slots) const
{
    const auto interval = std::chrono::duration_cast<Duration>(m_meanTime / std::max(1.0, slots));
    return interval * static_cast<std::int64_t>(waiting);
}

} // namespace fescuepond
