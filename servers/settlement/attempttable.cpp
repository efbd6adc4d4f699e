// The attempts that a target knows of, and the decisions that follow.

#include "servers/settlement/attempttable.h"

#include "core/kernel/invariant.h"

#include <algorithm>
#include <array>

namespace fescuepond
{

namespace
{

constexpr std::size_t MaxFences = 32'768;
constexpr std::size_t MaxFinished = 65'536;
constexpr std::size_t MaxOutcomeBytes = 8UL * 1024 * 1024;
constexpr Duration OutcomeRetention = std::chrono::seconds(10);

CallOutcome rejectionOfFenced()
{
    return CallOutcome::notRun(Reason::Cancelled, "the attempt was fenced and must not run");
}

CallOutcome withoutBody(const CallOutcome &outcome)
{
    if (outcome.state() != CallState::Answered) {
        return outcome;
    }
    return CallOutcome::unknown(Reason::ConnectionLost, "the call ran, but its answer is no longer stored");
}

/// From this time on, an attempt with this deadline is rejected on arrival, whatever the clock error.
TimePoint retentionEnd(TimePoint deadline)
{
    return deadline + MaxClockError;
}

} // namespace

AttemptLimits AttemptLimits::standard()
{
    return AttemptLimits()
        .withMaxFences(MaxFences)
        .withMaxFinished(MaxFinished)
        .withMaxOutcomeBytes(MaxOutcomeBytes)
        .withOutcomeRetention(OutcomeRetention);
}

ArrivalDecision decideArrival(const AttemptRecord *known, TimePoint deadline, TimePoint now)
{
    if (known == nullptr) {
        if (now < deadline) {
            return ArrivalDecision().withAction(ArrivalAction::Run);
        }
        return ArrivalDecision()
            .withAction(ArrivalAction::Reject)
            .withOutcome(CallOutcome::notRun(Reason::DeadlineExceeded, "the deadline passed on the way to the target"));
    }
    switch (known->phase()) {
    case AttemptPhase::Waiting:
    case AttemptPhase::Running:
        return ArrivalDecision().withAction(ArrivalAction::Join);
    case AttemptPhase::Finished:
        return ArrivalDecision().withAction(ArrivalAction::Answer).withOutcome(known->outcome());
    case AttemptPhase::Fenced:
        break;
    }
    return ArrivalDecision().withAction(ArrivalAction::Reject).withOutcome(rejectionOfFenced());
}

AttemptReport reportOf(const AttemptRecord &known)
{
    switch (known.phase()) {
    case AttemptPhase::Waiting:
    case AttemptPhase::Running:
        return AttemptReport().withStatus(AttemptStatus::Running);
    case AttemptPhase::Finished:
        return AttemptReport().withStatus(AttemptStatus::Finished).withOutcome(known.outcome());
    case AttemptPhase::Fenced:
        break;
    }
    return AttemptReport().withStatus(AttemptStatus::Fenced);
}

const char *toString(AttemptStatus status)
{
    static constexpr std::array Names = {"fenced", "running", "finished", "forgotten"};
    return Names.at(static_cast<std::size_t>(status));
}

AttemptTable::AttemptTable(AttemptLimits limits)
    : m_limits(limits)
{
}

ArrivalDecision AttemptTable::receive(const AttemptId &id, TimePoint deadline, TimePoint now)
{
    expire(now);
    ArrivalDecision decision = decideArrival(find(id), deadline, now);
    if (decision.action() == ArrivalAction::Run) {
        m_records.emplace(id, AttemptRecord().withPhase(AttemptPhase::Waiting).withDeadline(deadline));
    }
    return decision;
}

bool AttemptTable::start(const AttemptId &id)
{
    const auto found = m_records.find(id);
    const bool isWaiting = found != m_records.end() && found->second.phase() == AttemptPhase::Waiting;
    if (isWaiting) {
        found->second = std::move(found->second).withPhase(AttemptPhase::Running);
    }
    return isWaiting;
}

void AttemptTable::finish(const AttemptId &id, const CallOutcome &outcome, TimePoint now)
{
    const auto found = m_records.find(id);
    const bool isFenced = found == m_records.end() || found->second.phase() == AttemptPhase::Fenced;
    if (isFenced) {
        // The fence may have expired while the attempt was queued; the attempt still must not have run.
        invariant(outcome.state() == CallState::NotRun, "a fenced attempt never runs");
        return;
    }
    invariant(found->second.phase() != AttemptPhase::Finished, "an attempt finishes once");
    found->second = std::move(found->second)
                        .withPhase(AttemptPhase::Finished)
                        .withOutcome(outcome)
                        .withOutcomeExpiresAt(now + m_limits.outcomeRetention());
    m_finished.emplace(retentionEnd(found->second.deadline()), id);
    if (outcome.state() == CallState::Answered) {
        m_outcomes.push_back(id);
        m_outcomeBytes += outcome.body().size();
    }
    expire(now);
}

AttemptReport AttemptTable::settle(const AttemptId &id, TimePoint deadline, TimePoint now)
{
    expire(now);
    const AttemptRecord *known = find(id);
    return known == nullptr ? fenceUnseen(id, deadline, now) : reportOf(*known);
}

AttemptReport AttemptTable::cancel(const AttemptId &id, TimePoint deadline, TimePoint now)
{
    expire(now);
    const auto found = m_records.find(id);
    if (found != m_records.end()) {
        found->second = found->second.withIsCancelled(true);
    }
    if (found != m_records.end() && found->second.phase() == AttemptPhase::Waiting) {
        found->second = found->second.withPhase(AttemptPhase::Fenced);
        m_fenced.emplace(retentionEnd(found->second.deadline()), id);
    }
    return settle(id, deadline, now);
}

const AttemptRecord *AttemptTable::find(const AttemptId &id) const
{
    const auto found = m_records.find(id);
    return found == m_records.end() ? nullptr : &found->second;
}

AttemptReport AttemptTable::fenceUnseen(const AttemptId &id, TimePoint deadline, TimePoint now)
{
    // The attempt may have arrived and its record may have been removed: its retention has ended, or it was evicted
    // early. `deadline` may be later than the recorded one by the clock error.
    const bool canHaveBeenEvicted = now >= deadline || deadline - MaxClockError <= m_evictedUntil;
    if (canHaveBeenEvicted || m_fenced.size() >= m_limits.maxFences()) {
        return AttemptReport().withStatus(AttemptStatus::Forgotten);
    }
    m_records.emplace(id, AttemptRecord().withPhase(AttemptPhase::Fenced).withDeadline(deadline));
    m_fenced.emplace(retentionEnd(deadline), id);
    return AttemptReport().withStatus(AttemptStatus::Fenced);
}

void AttemptTable::expire(TimePoint now)
{
    while (!m_outcomes.empty()) {
        const AttemptRecord *oldest = find(m_outcomes.front());
        const bool isKept = oldest != nullptr && now < oldest->outcomeExpiresAt();
        if (isKept && m_outcomeBytes <= m_limits.maxOutcomeBytes()) {
            break;
        }
        discardOldestBody();
    }
    while (!m_finished.empty() && m_finished.begin()->first <= now) {
        evict(m_finished.begin(), m_finished);
    }
    while (!m_fenced.empty() && m_fenced.begin()->first <= now) {
        evict(m_fenced.begin(), m_fenced);
    }
    while (m_finished.size() > m_limits.maxFinished()) {
        evictEarly();
    }
}

void AttemptTable::evict(std::set<Expiry>::iterator entry, std::set<Expiry> &expiries)
{
    const auto found = m_records.find(entry->second);
    if (found->second.outcome().state() == CallState::Answered) {
        m_outcomeBytes -= found->second.outcome().body().size();
    }
    m_records.erase(found);
    expiries.erase(entry);
}

void AttemptTable::evictEarly()
{
    const TimePoint deadline = find(m_finished.begin()->second)->deadline();
    m_evictedUntil = std::max(m_evictedUntil, deadline);
    evict(m_finished.begin(), m_finished);
}

void AttemptTable::discardOldestBody()
{
    const auto found = m_records.find(m_outcomes.front());
    m_outcomes.pop_front();
    if (found == m_records.end()) {
        return;
    }
    m_outcomeBytes -= found->second.outcome().body().size();
    found->second = found->second.withOutcome(withoutBody(found->second.outcome()));
}

} // namespace fescuepond
