// Admission control at a target: which calls are passed to the local backend server, queued or rejected.

#pragma once

#include "servers/admission/admissionqueue.h"
#include "servers/admission/drainestimate.h"
#include "servers/admission/limitstrategy.h"
#include "servers/admission/servicetimes.h"
#include "servers/admission/startrate.h"

#include <memory>
#include <optional>

namespace fescuepond
{

struct AdmissionRules {
    QueueRules queue;
    /// Queue capacity for each slot. Enough for the calls that the path limits of all nodes together keep queued here:
    /// rejecting one of them would waste all the work that its root request has done so far.
    double queueCapacityPerSlot = 2.5;
    bool rejectUnmeetable = true; ///< Rejects calls with less time left than the minimum service time of their kind.
};

/// Every submission gets exactly one decision, from submit() or from a later function.
class AdmissionController
{
public:
    AdmissionController(std::unique_ptr<LimitStrategy> limit, AdmissionRules rules);

    AdmissionDecisions submit(const AdmissionEntry &entry, TimePoint now);
    /// Releases the slot of a running call and admits queued ones.
    AdmissionDecisions finished(EntryId id, const RunSample &sample, TimePoint now);
    /// Rejects the queued calls that can no longer meet their deadline, and admits others while slots are free.
    AdmissionDecisions expire(TimePoint now);
    /// Removes a queued entry whose caller no longer waits; false if it isn't queued.
    bool cancel(EntryId id);

    /// When expire() must be called next: when a queued call expires, or may start although no other one has finished.
    std::optional<TimePoint> nextExpiry() const;
    /// Sets how many calls the backend server runs concurrently.
    void setSlots(double slots)
    {
        m_limit->setSlots(slots);
    }
    /// Sets how many calls a second the backend server takes; 0: no limit.
    void setRate(double perSecond)
    {
        m_rate = m_rate.withPerSecond(perSecond);
    }
    /// How many calls can run concurrently: the limit of the strategy, or the number that the rate allows.
    double limit() const;
    std::size_t running() const
    {
        return m_queue.running();
    }
    std::size_t queued() const
    {
        return m_queue.queued();
    }
    /// See AdmissionQueue::headroom().
    double headroom(const AdmissionEntry &entry) const
    {
        return m_queue.headroom(entry, limit());
    }
    /// Estimated time until all calls that are queued now have started.
    Duration drainTime() const;
    Duration minServiceTime(const std::string &kind) const
    {
        return m_serviceTimes.minServiceTime(kind);
    }

private:
    std::size_t capacity() const;
    TimePoint latestStart(const AdmissionEntry &entry) const;
    void admitWaiting(AdmissionDecisions &decisions, TimePoint now);
    void rejectExpired(AdmissionDecisions &decisions, TimePoint now);

    const AdmissionRules m_rules;
    std::unique_ptr<LimitStrategy> m_limit;
    AdmissionQueue m_queue;
    ServiceTimes m_serviceTimes;
    DrainEstimate m_drain; ///< Over all kinds.
    StartRate m_rate;
};

} // namespace fescuepond
