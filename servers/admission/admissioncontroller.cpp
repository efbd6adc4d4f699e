// Admission control at a target: which calls are passed to the local backend server, queued or rejected.

#include "servers/admission/admissioncontroller.h"

#include <algorithm>
#include <cmath>

namespace fescuepond
{

namespace
{
constexpr double MinQueueCapacity = 4; ///< Calls.
}

AdmissionController::AdmissionController(std::unique_ptr<LimitStrategy> limit, AdmissionRules rules)
    : m_rules(rules)
    , m_limit(std::move(limit))
    , m_queue(rules.queue)
{
}

std::size_t AdmissionController::capacity() const
{
    return static_cast<std::size_t>(
        std::max(MinQueueCapacity, std::ceil(m_rules.queueCapacityPerSlot * m_limit->limit())));
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
    if (const auto rejected = m_queue.push(entry, expiresAt, capacity(), m_limit->limit())) {
        decisions.push_back(AdmissionDecision().withId(rejected->id()).withRejection(Reason::Overload));
    }
    admitWaiting(decisions);
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
    admitWaiting(decisions);
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
    return m_drain.drainTime(m_queue.queued(), m_limit->limit());
}

void AdmissionController::admitWaiting(AdmissionDecisions &decisions)
{
    while (const auto entry = m_queue.admitNext(m_limit->limit())) {
        decisions.push_back(AdmissionDecision().withId(entry->id()));
    }
}

} // namespace fescuepond
