// Admission at a target: which calls the local backend server is given, and which are refused.

#include "servers/admission/admissioncontroller.h"

#include <algorithm>
#include <cmath>

namespace fescuepond
{

namespace
{
constexpr double FewestPlaces = 4;
}

AdmissionController::AdmissionController(std::unique_ptr<LimitStrategy> limit, AdmissionRules rules)
    : m_rules(rules)
    , m_limit(std::move(limit))
    , m_queue(rules.queue)
{
}

std::size_t AdmissionController::capacity() const
{
    return static_cast<std::size_t>(std::max(FewestPlaces, std::ceil(m_rules.queueFactor * m_limit->limit())));
}

TimePoint AdmissionController::latestStart(const AdmissionEntry &entry) const
{
    return m_rules.refuseDoomed ? entry.deadline() - m_times.likely(entry.kind()) : entry.deadline();
}

AdmissionDecisions AdmissionController::submit(const AdmissionEntry &entry, TimePoint now)
{
    const TimePoint leaveAt = latestStart(entry);
    if (leaveAt <= now) {
        return {AdmissionDecision().withId(entry.id()).withRefusal(Reason::DeadlineExceeded)};
    }
    AdmissionDecisions decisions;
    refuseDue(decisions, now);
    if (const auto refused = m_queue.push(entry, leaveAt, capacity(), m_limit->limit())) {
        decisions.push_back(AdmissionDecision().withId(refused->id()).withRefusal(Reason::Overload));
    }
    takeFree(decisions);
    return decisions;
}

AdmissionDecisions AdmissionController::finished(EntryId id, const RunSample &sample, TimePoint now)
{
    const AdmissionEntry entry = m_queue.finish(id);
    m_limit->finished(sample, now);
    if (!sample.failed()) {
        m_times.add(entry.kind(), sample.total());
        m_drain.add(sample.total());
    }
    return expire(now);
}

AdmissionDecisions AdmissionController::expire(TimePoint now)
{
    AdmissionDecisions decisions;
    refuseDue(decisions, now);
    takeFree(decisions);
    return decisions;
}

bool AdmissionController::cancel(EntryId id)
{
    return m_queue.remove(id);
}

void AdmissionController::refuseDue(AdmissionDecisions &decisions, TimePoint now)
{
    for (const AdmissionEntry &entry : m_queue.removeDue(now)) {
        decisions.push_back(AdmissionDecision().withId(entry.id()).withRefusal(Reason::DeadlineExceeded));
    }
}

Duration AdmissionController::drainTime() const
{
    return m_drain.timeFor(m_queue.queued(), m_limit->limit());
}

void AdmissionController::takeFree(AdmissionDecisions &decisions)
{
    while (const auto entry = m_queue.take(m_limit->limit())) {
        decisions.push_back(AdmissionDecision().withId(entry->id()));
    }
}

} // namespace fescuepond
