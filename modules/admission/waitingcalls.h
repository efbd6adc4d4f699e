// The calls behind the entries of a queue: what a plug-in keeps while servers/admission decides on them.
//
// It has no lock of its own; it stands in a plug-in's table beside the queue.

#pragma once

#include "core/pipeline/callpipeline.h"
#include "servers/admission/admissionentry.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace fescuepond
{

/// A call that waits to be passed on.
struct WaitingCall {
    CallRequest call;
    Next next;
    Done done;
    AdmissionEntry entry;
    TimePoint submittedAt;
};

/// A decision with the call that it is about, for use without the lock.
struct DecidedCall {
    WaitingCall waiting;
    Reason rejection;
};
using DecidedCalls = std::vector<DecidedCall>;

class WaitingCalls
{
public:
    /// Keeps a call and makes its entry.
    AdmissionEntry add(const CallRequest &call, const Next &next, Done done, TimePoint now);
    /// Takes out the calls that were decided.
    DecidedCalls removeDecided(const AdmissionDecisions &decisions);
    /// Whether a timer must be set for `due`, the next time that an entry leaves its queue: none is set that is due as
    /// early. It counts as set from here on.
    bool needsTimer(std::optional<TimePoint> due);
    void timerFired();

private:
    std::unordered_map<EntryId, WaitingCall> m_calls; ///< Exactly the entries that wait in the queue.
    EntryId m_nextId = 1;
    TimePoint m_timerAt = TimePoint::max(); ///< When a timer is due.
};

} // namespace fescuepond
