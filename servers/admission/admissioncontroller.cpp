// Admission control at a target: which calls are passed to the local backend server, queued or rejected.

#include "servers/admission/admissioncontroller.h"

#include <algorithm>
#include <cmath>

namespace fescuepond
{

namespace
{
constexpr double MinQueueCapacity = 4; ///< Calls.
/// Calls that would wait longer for the rate are rejected at once, so that their callers can go elsewhere.
constexpr std::chrono::duration<double> MaxRateQueueTime(1);
}

AdmissionController::AdmissionController(std::unique_ptr<LimitStrategy> limit, AdmissionRules rules)
    : m_rules(rules)
    , m_limit(std::move(limit))
    , m_queue(rules.queue)
{
}

std::size_t AdmissionController::capacity() const
{
    const double bySlots = std::max(MinQueueCapacity, std::ceil(m_rules.queueCapacityPerSlot * limit()));
    if (m_rate.perSecond() <= 0) {
        return static_cast<std::size_t>(bySlots);
    }
    const double byRate = std::ceil(m_rate.perSecond() * MaxRateQueueTime.count());
    return static_cast<std::size_t>(std::clamp(byRate, 1.0, bySlots));
}

double AdmissionController::limit() const
{
    const double byStrategy = m_limit->limit();
    if (m_rate.perSecond() <= 0 || m_drain.meanHoldTime() == Duration::zero()) {
        return byStrategy;
    }
    // Little's law.
    const double byRate = m_rate.perSecond() * std::chrono::duration<double>(m_drain.meanHoldTime()).count();
    return std::clamp(byRate, 1.0, std::max(1.0, byStrategy));
}

std::optional<TimePoint> AdmissionController::nextExpiry() const
{
    const auto expiry = m_queue.nextExpiry();
    const bool waitsForRate = expiry && m_rate.perSecond() > 0 && m_queue.hasFreeSlot(m_limit->limit());
    return waitsForRate ? std::min(*expiry, m_rate.nextStart()) : expiry;
}

TimePoint AdmissionController::latestStart(const AdmissionEntry &entry) const
{
    return m_rules.rejectUnmeetable ? entry.deadline() - m_serviceTimes.minServiceTime(entry.kind()) : entry.deadline();
}

AdmissionDecisions AdmissionController::submit(const AdmissionEntry &entry, TimePoint now)
{
    const TimePoint expiresAt = latestStart(entry);
    if (expiresAt <= now) {
        return {AdmissionDecision().withId(entry.id()).withRejection(Reason::DeadlineExceeded)};
    }
    AdmissionDecisions decisions;
    rejectExpired(decisions, now);
    // With a rate, free slots don't let an entry start at once.
    const double slots = m_rate.perSecond() > 0 ? 0 : limit();
    if (const auto rejected = m_queue.push(entry, expiresAt, capacity(), slots)) {
        decisions.push_back(AdmissionDecision().withId(rejected->id()).withRejection(Reason::Overload));
    }
    admitWaiting(decisions, now);
    return decisions;
}

AdmissionDecisions AdmissionController::finished(EntryId id, const RunSample &sample, TimePoint now)
{
    const AdmissionEntry entry = m_queue.finish(id);
    m_limit->finished(sample, now);
    if (!sample.isFailed()) {
        m_serviceTimes.add(entry.kind(), sample.serviceTime());
        m_drain.add(sample.serviceTime());
    }
    return expire(now);
}

AdmissionDecisions AdmissionController::expire(TimePoint now)
{
    AdmissionDecisions decisions;
    rejectExpired(decisions, now);
    admitWaiting(decisions, now);
    return decisions;
}

bool AdmissionController::cancel(EntryId id)
{
    return m_queue.remove(id);
}

void AdmissionController::rejectExpired(AdmissionDecisions &decisions, TimePoint now)
{
    for (const AdmissionEntry &entry : m_queue.removeExpired(now)) {
        decisions.push_back(AdmissionDecision().withId(entry.id()).withRejection(Reason::DeadlineExceeded));
    }
}

Duration AdmissionController::drainTime() const
{
    const Duration bySlots = m_drain.drainTime(m_queue.queued(), m_limit->limit());
    if (m_rate.perSecond() <= 0) {
        return bySlots;
    }
    const std::chrono::duration<double> byRate(static_cast<double>(m_queue.queued()) / m_rate.perSecond());
    return std::max(bySlots, std::chrono::duration_cast<Duration>(byRate));
}

void AdmissionController::admitWaiting(AdmissionDecisions &decisions, TimePoint now)
{
    while (m_rate.nextStart() <= now) {
        const auto entry = m_queue.admitNext(m_limit->limit());
        if (!entry) {
            return;
        }
        m_rate = m_rate.afterStart(now);
        decisions.push_back(AdmissionDecision().withId(entry->id()));
    }
}

} // namespace fescuepond
