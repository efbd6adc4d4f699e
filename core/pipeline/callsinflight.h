// The calls that the local backend server runs at this moment.
//
// A backend copies the call identifier of the request that it serves to the calls it makes. The local listener looks
// it up here, and so knows the root request, rank, deadline and retry allowance without trusting a header.

#pragma once

#include "core/kernel/sharedtable.h"
#include "core/values/call.h"

#include <cstddef>
#include <optional>
#include <unordered_map>

namespace fescuepond
{

/// The context of a call made while `parent` runs.
CallContext childOf(const CallContext &parent);

/// What the calls that run here have to do with a deadline. A backend server whose calls don't name their parent lets
/// them expire with it or earlier; it was told the deadline rounded to milliseconds.
struct DeadlineMatch {
    /// The call whose deadline is nearest, if it is near enough to be the same.
    std::optional<CallContext> nearest;
    /// A call runs that has the same deadline or a later one.
    bool canBeChild = false;
    /// How probable it is that a call is near enough by coincidenceProbability, judged by those with deadlines
    /// nearbyCount it.
    double coincidenceProbability = 0;
};

class CallsInFlight
{
public:
    void add(const CallContext &context);
    /// Removes a call; completes its outcome with what is left of its retry allowance and what its children told.
    CallOutcome remove(const CallId &callId, const CallOutcome &outcome);
    /// The context of the call, or nothing when it doesn't run here.
    std::optional<CallContext> find(const CallId &callId) const;
    DeadlineMatch findByDeadline(TimePoint deadline) const;
    /// Takes the part of the call's retry allowance that one child call gets and returns it.
    int takeAllowance(const CallId &callId);
    /// A child call ended: its unused retries come back, and what it told of the room on its path is kept. Ignored when
    /// the call itself has ended.
    void onChildCompleted(const CallId &callId, const CallOutcome &outcome);
    std::size_t size() const;

private:
    struct Entry {
        CallContext m_context; ///< Its retry allowance is what is left after the children took theirs.
        bool m_hasFailedChild = false;
        double m_headroomBelow = 0; ///< Least room on a path below that an answer told of; 0: none told.
    };
    using Table = std::unordered_map<CallId, Entry>;
    SharedTable<Table> m_table{LockRank::CallsInFlight};
};

} // namespace fescuepond
