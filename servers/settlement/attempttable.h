// What a target knows of the attempts that were sent to it, and the decisions that follow from it.
//
// The table answers two questions for good: may an attempt that arrives be run, and what became of an attempt that its
// sender lost sight of. An attempt that was asked about before it arrived is fenced: it is refused whenever it comes.
//
// Everything is bounded by the attempts' deadlines. Two nodes have no common clock; a sender's deadline is known here
// to MaxClockError, always late and never early. A fence is held until the deadline and that error have passed:
// from then on the attempt is refused for its deadline. An attempt that ended is remembered for as long, so "never
// seen" is not confused with "forgotten". When the table is full, what ends first is forgotten, and a watermark says up
// to which deadline attempts may have been forgotten.

#pragma once

#include "core/kernel/clock.h"
#include "core/pipeline/interfaces.h"
#include "core/value.h"
#include "core/values/call.h"

#include <compare>
#include <cstddef>
#include <deque>
#include <set>
#include <unordered_map>
#include <utility>

namespace fescuepond
{

/// By how much a deadline is known too late at most: the longest exchange of clocks when a connection is opened.
constexpr Duration MaxClockError = std::chrono::seconds(1);

enum class AttemptPhase {
    Waiting, ///< It is here and hasn't been given to the backend server.
    Running, ///< The backend server may have it.
    Finished,
    Fenced, ///< Its sender was reported, or will be, that it never runs.
};

/// One attempt, as its target knows it.
class AttemptRecord
{
    FESCUEPOND_FIELD(AttemptPhase, phase, withPhase);
    FESCUEPOND_FIELD(TimePoint, deadline, withDeadline);
    FESCUEPOND_FIELD(bool, isCancelled, withIsCancelled); ///< Its sender no longer wants the outcome.
    FESCUEPOND_FIELD(CallOutcome, outcome, withOutcome); ///< Set when finished.
    FESCUEPOND_FIELD(TimePoint, outcomeExpiresAt, withOutcomeExpiresAt); ///< When the outcome's body may be dropped.

public:
    friend auto operator<=>(const AttemptRecord &, const AttemptRecord &) = default;
};

/// What to do with an attempt that arrives.
enum class ArrivalAction {
    Run,
    Join, ///< A copy of one that is here: it gets the same outcome.
    Answer, ///< A copy of one that ended.
    Reject, ///< It is never run.
};

class ArrivalDecision
{
    FESCUEPOND_FIELD(ArrivalAction, action, withAction);
    FESCUEPOND_FIELD(CallOutcome, outcome, withOutcome); ///< Of Answer and Reject.

public:
    friend auto operator<=>(const ArrivalDecision &, const ArrivalDecision &) = default;
};

/// How much an AttemptTable holds.
class AttemptLimits
{
    FESCUEPOND_FIELD(std::size_t, maxFences, withMaxFences);
    FESCUEPOND_FIELD(std::size_t, maxFinished, withMaxFinished);
    FESCUEPOND_FIELD(std::size_t, maxOutcomeBytes, withMaxOutcomeBytes);
    FESCUEPOND_FIELD(Duration, outcomeRetention, withOutcomeRetention);

public:
    static AttemptLimits standard();
    friend auto operator<=>(const AttemptLimits &, const AttemptLimits &) = default;
};

/// Decides on an attempt that arrives, from what is known of it; `known` is null when nothing is.
ArrivalDecision decideArrival(const AttemptRecord *known, TimePoint deadline, TimePoint now);

/// What is reported of an attempt that is known.
AttemptReport reportOf(const AttemptRecord &known);

/// Names as they stand in metrics.
const char *toString(AttemptStatus status);

class AttemptTable
{
public:
    explicit AttemptTable(AttemptLimits limits = AttemptLimits::standard());

    /// An attempt arrives.
    ArrivalDecision receive(const AttemptId &id, TimePoint deadline, TimePoint now);
    /// Whether the attempt may be given to the backend server now; if so it is running.
    bool start(const AttemptId &id);
    /// The attempt ended. Called once for each that was decided as Run.
    void finish(const AttemptId &id, const CallOutcome &outcome, TimePoint now);
    /// Tells what became of an attempt. One that never arrived is fenced.
    AttemptReport settle(const AttemptId &id, TimePoint deadline, TimePoint now);
    /// As settle(), but an attempt that hasn't been given to the backend server is fenced too.
    AttemptReport cancel(const AttemptId &id, TimePoint deadline, TimePoint now);

    /// Null when nothing is known of the attempt.
    const AttemptRecord *find(const AttemptId &id) const;
    std::size_t size() const
    {
        return m_records.size();
    }
    std::size_t outcomeBytes() const
    {
        return m_outcomeBytes;
    }

private:
    using Expiry = std::pair<TimePoint, AttemptId>;

    void expire(TimePoint now);
    AttemptReport fenceUnseen(const AttemptId &id, TimePoint deadline, TimePoint now);
    void evict(std::set<Expiry>::iterator entry, std::set<Expiry> &expiries);
    void evictEarly();
    void dropOldestOutcome();

    const AttemptLimits m_limits;
    std::unordered_map<AttemptId, AttemptRecord> m_records;
    // Each finished or fenced record stands in exactly one of these two, with the time until which it is kept. A fenced
    // attempt that is still in the target's queue stands in m_fenced.
    std::set<Expiry> m_finished;
    std::set<Expiry> m_fenced;
    std::deque<AttemptId> m_outcomes; ///< Finished attempts whose answer's body is kept, oldest first.
    std::size_t m_outcomeBytes = 0; ///< Sum of those bodies.
    TimePoint m_evictedUntil{}; ///< Attempts with a deadline up to here may have ended and been forgotten early.
};

} // namespace fescuepond
