// Keeps the latest arrivals at a queue.

#include "servers/admission/arrivalsample.h"

#include <algorithm>

namespace fescuepond
{

namespace
{
constexpr std::size_t MostArrivals = 256;
} // namespace

void ArrivalSample::add(const ShedOrder &order, TimePoint now)
{
    if (m_arrivals.size() == MostArrivals) {
        m_orders.erase(m_arrivals.front().m_order);
        m_arrivals.pop_front();
    }
    m_arrivals.push_back({now, order});
    m_orders.insert(order);
}

double ArrivalSample::projected(std::size_t count, Duration horizon, TimePoint now) const
{
    const Duration span = m_arrivals.empty() ? Duration::zero() : now - m_arrivals.front().m_at;
    if (span <= Duration::zero()) {
        return 0;
    }
    const double part =
        static_cast<double>(std::clamp(horizon, Duration::zero(), span).count()) / static_cast<double>(span.count());
    return static_cast<double>(count) * part;
}

} // namespace fescuepond
