// The calls that belong to the entries of an admission queue. A plug-in keeps them until they are decided.
//
// Not synchronised: a plug-in keeps it in one SharedTable with the queue.

#pragma once

#include "core/pipeline/callpipeline.h"
#include "servers/admission/admissionentry.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace fescuepond
{

/// A call that waits for its admission decision.
struct WaitingCall {
    CallRequest call;
    Next next;
    Done done;
    AdmissionEntry entry;
    TimePoint submittedAt;
};

/// A call with its decision, to be carried out without the lock.
struct DecidedCall {
    WaitingCall waiting;
    Reason rejection;
};
using DecidedCalls = std::vector<DecidedCall>;

class WaitingCalls
{
public:
    /// Keeps a call and returns the entry to submit for it.
    AdmissionEntry add(const CallRequest &call, const Next &next, Done done, TimePoint now);
    /// Removes and returns the calls that were decided.
    DecidedCalls removeDecided(const AdmissionDecisions &decisions);
    /// Whether a timer must be set for `due`, the next expiry of an entry: false if one that is due as early is
    /// pending. If true, the timer counts as pending from here on.
    bool needsTimer(std::optional<TimePoint> due);
    void timerFired();

private:
    std::unordered_map<EntryId, WaitingCall> m_calls; ///< Exactly those of the entries in the queue.
    EntryId m_nextId = 1;
    TimePoint m_timerAt = TimePoint::max(); ///< When the pending timer is due; max() if there is none.
};

} // namespace fescuepond
