// Model of a backend server.

#include "benchmarks/experiment/fakebackend.h"

namespace fescuepond::experiment
{

namespace
{
/// Added to the service time factor, 1, of a cold backend server whose slots are all in use.
constexpr double ColdFactor = 9;
} // namespace

FakeBackend::FakeBackend(EventQueue &events, std::mt19937_64 &random, int slots, double ownSeconds)
    : m_events(events)
    , m_random(random)
    , m_slots(slots)
    , m_ownSeconds(ownSeconds)
{
}

void FakeBackend::acquire(std::function<void()> started)
{
    if (m_busy < static_cast<std::size_t>(m_slots)) {
        ++m_busy;
        started();
        return;
    }
    m_waiting.push_back(std::move(started));
}

void FakeBackend::release()
{
    if (m_waiting.empty()) {
        --m_busy;
        return;
    }
    const auto next = std::move(m_waiting.front());
    m_waiting.pop_front();
    next();
}

void FakeBackend::work(double fraction, std::function<void()> done)
{
    double mean = m_ownSeconds * m_timeFactor;
    if (m_coldCalls > 0) {
        --m_coldCalls;
        mean *= 1 + ColdFactor * static_cast<double>(m_busy) / m_slots;
    }
    m_events.scheduleAfter(fraction * std::exponential_distribution<>(1 / mean)(m_random), std::move(done));
}

} // namespace fescuepond::experiment
