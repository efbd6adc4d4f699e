// Admission at a target: which calls the local backend server is given, and which are refused.

#pragma once

#include "servers/admission/admissionqueue.h"
#include "servers/admission/drainestimate.h"
#include "servers/admission/limitstrategy.h"
#include "servers/admission/servicetimes.h"

#include <memory>
#include <optional>

namespace fescuepond
{

struct AdmissionRules {
    QueueRules queue;
    /// Places in the queue for each slot. Enough for what the path limits of all nodes keep waiting here together; a
    /// refusal of one call here loses all that its request has done before.
    double queueCapacityPerSlot = 2.5;
    bool rejectUnmeetable = true; ///< Refuses calls whose deadline is nearer than the likely service time.
};

/// Every submission gets exactly one decision: at once, or from a later function.
class AdmissionController
{
public:
    AdmissionController(std::unique_ptr<LimitStrategy> limit, AdmissionRules rules);

    AdmissionDecisions submit(const AdmissionEntry &entry, TimePoint now);
    /// A call that ran has ended.
    AdmissionDecisions finished(EntryId id, const RunSample &sample, TimePoint now);
    /// Refuses what can no longer be answered in time.
    AdmissionDecisions expire(TimePoint now);
    /// The caller is gone; false when the entry doesn't wait.
    bool cancel(EntryId id);

    /// When expire() has something to do.
    std::optional<TimePoint> nextExpiry() const
    {
        return m_queue.nextExpiry();
    }
    /// The backend server runs so many calls at once.
    void setSlots(double slots)
    {
        m_limit->setSlots(slots);
    }
    double limit() const
    {
        return m_limit->limit();
    }
    std::size_t running() const
    {
        return m_queue.running();
    }
    std::size_t queued() const
    {
        return m_queue.queued();
    }
    /// See AdmissionQueue::room().
    double headroom(const AdmissionEntry &entry) const
    {
        return m_queue.headroom(entry, m_limit->limit());
    }
    /// How long it takes until what waits now has begun.
    Duration drainTime() const;
    Duration minServiceTime(const std::string &kind) const
    {
        return m_times.minServiceTime(kind);
    }

private:
    std::size_t capacity() const;
    TimePoint latestStart(const AdmissionEntry &entry) const;
    void admitWaiting(AdmissionDecisions &decisions);
    void rejectExpired(AdmissionDecisions &decisions, TimePoint now);

    const AdmissionRules m_rules;
    std::unique_ptr<LimitStrategy> m_limit;
    AdmissionQueue m_queue;
    ServiceTimes m_times;
    DrainEstimate m_drain; ///< Over all kinds.
};

} // namespace fescuepond
