// The attempts that a target knows of, and the decisions that follow: whether an arriving attempt may run, and what the
// outcome of an attempt is whose sender lost its connection. Both decisions are final. If the sender asks about an
// attempt that has not arrived, the attempt is fenced: it is rejected if it arrives later.
//
// How long a record is kept depends on the attempt's deadline. The clocks of two nodes differ, so a target knows the
// sender's deadline with an error of at most MaxClockError, which only ever makes it earlier. A fence is kept until the
// deadline plus that error; from then on the attempt is rejected because its deadline has passed. The record of a
// finished attempt is kept for the same time, so that "never seen" is not confused with "evicted". If the table is
// full, the record whose retention ends first is evicted early, and a watermark stores the latest deadline of an
// attempt evicted in this way.

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

/// A deadline known to the target is up to this much too early, and never too late: the maximum duration of the clock
/// exchange when a connection is opened, and the drift of the clocks.
constexpr Duration MaxClockError = std::chrono::seconds(1);

enum class AttemptPhase {
    Waiting, ///< It has arrived and has not been passed to the backend server.
    Running, ///< It may have reached the backend server.
    Finished,
    Fenced, ///< It never runs; its sender may have been informed of that.
};

/// What a target knows of one attempt.
class AttemptRecord
{
    FESCUEPOND_FIELD(AttemptPhase, phase, withPhase);
    FESCUEPOND_FIELD(TimePoint, deadline, withDeadline);
    FESCUEPOND_FIELD(bool, isCancelled, withIsCancelled); ///< Its sender no longer needs the outcome.
    FESCUEPOND_FIELD(CallOutcome, outcome, withOutcome); ///< Set when finished.
    FESCUEPOND_FIELD(TimePoint, outcomeExpiresAt, withOutcomeExpiresAt); ///< When the outcome's body may be discarded.

public:
    friend auto operator<=>(const AttemptRecord &, const AttemptRecord &) = default;
};

/// What to do with an arriving attempt.
enum class ArrivalAction {
    Run,
    Join, ///< A copy of it has already arrived: both get the same outcome.
    Answer, ///< A copy of it has finished: it gets that outcome.
    Reject, ///< It must not run.
};

class ArrivalDecision
{
    FESCUEPOND_FIELD(ArrivalAction, action, withAction);
    FESCUEPOND_FIELD(CallOutcome, outcome, withOutcome); ///< Set with Answer and Reject.

public:
    friend auto operator<=>(const ArrivalDecision &, const ArrivalDecision &) = default;
};

/// Capacity limits of an AttemptTable.
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

/// Decides on an arriving attempt; `known` is its record, or null if there is none.
ArrivalDecision decideArrival(const AttemptRecord *known, TimePoint deadline, TimePoint now);

/// The report to the sender of an attempt that has a record.
AttemptReport reportOf(const AttemptRecord &known);

/// Names used as label values in metrics.
const char *toString(AttemptStatus status);

class AttemptTable
{
public:
    explicit AttemptTable(AttemptLimits limits = AttemptLimits::standard());

    /// Decides what to do with an arriving attempt.
    ArrivalDecision receive(const AttemptId &id, TimePoint deadline, TimePoint now);
    /// Marks the attempt as running if it may be passed to the backend server now; returns whether it may.
    bool start(const AttemptId &id);
    /// Records the outcome. Must be called once for each attempt with the decision Run.
    void finish(const AttemptId &id, const CallOutcome &outcome, TimePoint now);
    /// Returns the attempt's status and outcome. If the attempt never arrived, it is fenced.
    AttemptReport settle(const AttemptId &id, TimePoint deadline, TimePoint now);
    /// As settle(), but also fences an attempt that has not been passed to the backend server.
    AttemptReport cancel(const AttemptId &id, TimePoint deadline, TimePoint now);

    /// Null if the attempt has no record.
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
    void discardOldestBody();

    AttemptLimits m_limits;
    std::unordered_map<AttemptId, AttemptRecord> m_records;
    // Each finished or fenced record is in exactly one of these two, with the end of its retention. A fenced attempt
    // that is still in the target's queue is in m_fenced.
    std::set<Expiry> m_finished;
    std::set<Expiry> m_fenced;
    std::deque<AttemptId> m_outcomes; ///< Finished attempts whose answer's body is kept, oldest first.
    std::size_t m_outcomeBytes = 0; ///< Total size of those bodies.
    TimePoint m_evictedUntil{}; ///< Attempts with a deadline up to this one may have finished and been evicted early.
};

} // namespace fescuepond
