// Which calls a node refuses while its own processor is the bottleneck.

#include "servers/processorload/loadshedder.h"

#include "servers/admission/admissionqueue.h"

#include <algorithm>
#include <limits>

namespace fescuepond
{

namespace
{
constexpr Duration DelayInterval = std::chrono::milliseconds(200);
/// After a pause of the process, one or two tasks run late.
constexpr int MinTasksInInterval = 3;
/// A call waits for the processor several times at each node that it passes. With this delay, those waits are still
/// short against usual time limits of a second.
constexpr Duration TargetDelay = std::chrono::milliseconds(20);
constexpr double MinHeadroom = 0.01;
/// Arrivals after which their counts by rank are halved, so that they follow changes.
constexpr double MaxArrivals = 512;
} // namespace

void TaskDelay::add(Duration delay, TimePoint now)
{
    m_least = std::min(m_least, delay);
    ++m_tasks;
    if (now < m_intervalEnd || m_tasks < MinTasksInInterval) {
        return;
    }
    m_sustained = m_least;
    m_least = Duration::max();
    m_tasks = 0;
    m_intervalEnd = now + DelayInterval;
}

void LoadShedder::taskRan(Duration delay, TimePoint now)
{
    m_delay.add(delay, now);
    m_share.update(headroom(), now);
}

double LoadShedder::headroom() const
{
    const auto target = std::chrono::duration<double>(TargetDelay);
    const auto delay = std::chrono::duration<double>(std::max(m_delay.sustained(), Duration(1)));
    return std::clamp(target / delay, MinHeadroom, MaxHeadroom);
}

bool LoadShedder::admits(Rank rank, std::uint64_t rootHash, TimePoint now)
{
    if (m_arrivalCount >= MaxArrivals) {
        for (auto &[known, count] : m_arrivals) {
            count /= 2;
        }
        m_arrivalCount /= 2;
    }
    ++m_arrivals[rank];
    ++m_arrivalCount;
    const double share = m_share.at(now);
    if (share >= 1) {
        return true;
    }
    double before = 0;
    for (auto entry = m_arrivals.begin(); entry->first < rank; ++entry) {
        before += entry->second;
    }
    const double fraction =
        static_cast<double>(rootHash) / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return before + fraction * m_arrivals[rank] < share * m_arrivalCount;
}

} // namespace fescuepond
