// Strategies for the concurrency limit of the local backend server.

#include "servers/admission/limitstrategy.h"

#include <algorithm>

namespace fescuepond
{

namespace
{
/// Initial limit as a fraction of the slots. Not lower: routing compares utilisation, and a target with a far lower
/// limit than its equals would get no calls by which its limit could grow.
constexpr double InitialLimitRatio = 0.5;
constexpr double GrowthPerAnswer = 0.25; ///< Calls.
constexpr double FailureWeight = 0.05; ///< Of the latest call in the moving average.
constexpr double MaxFailureRatio = 0.3; ///< From this ratio on, a failure lowers the limit.
constexpr double DecreaseFactor = 0.7;
constexpr Duration MinDecreaseInterval = std::chrono::milliseconds(500);
} // namespace

FixedLimit::FixedLimit(double slots)
    : m_slots(std::max(1.0, slots))
{
}

void FixedLimit::setSlots(double slots)
{
    m_slots = std::max(1.0, slots);
}

void FixedLimit::finished(const RunSample &, TimePoint)
{
}

AdaptiveLimit::AdaptiveLimit(double slots)
    : m_slots(std::max(1.0, slots))
    , m_limit(std::max(1.0, slots * InitialLimitRatio))
{
}

void AdaptiveLimit::setSlots(double slots)
{
    const double next = std::max(1.0, slots);
    if (next != m_slots) {
        m_limit = std::max(1.0, m_limit * next / m_slots);
        m_slots = next;
    }
}

void AdaptiveLimit::finished(const RunSample &sample, TimePoint now)
{
    m_failureRatio += FailureWeight * ((sample.isFailed() ? 1 : 0) - m_failureRatio);
    if (!sample.isFailed()) {
        m_limit = std::min(m_slots, m_limit + GrowthPerAnswer);
        return;
    }
    if (m_failureRatio >= MaxFailureRatio && now - m_lastDecreaseAt >= MinDecreaseInterval) {
        m_limit = std::max(1.0, m_limit * DecreaseFactor);
        m_lastDecreaseAt = now;
    }
}

} // namespace fescuepond
