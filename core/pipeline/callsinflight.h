// The calls that the local backend server is running.
//
// A backend server copies the call identifier of the request that it serves to the calls that it makes. The local
// listener looks the identifier up here and so gets the root request, rank, deadline and retry allowance from the
// node's own records instead of trusting headers.

#pragma once

#include "core/kernel/sharedtable.h"
#include "core/values/call.h"

#include <cstddef>
#include <optional>
#include <unordered_map>

namespace fescuepond
{

/// The context of a call that the backend server makes for `parent`.
CallContext childOf(const CallContext &parent);

/// The result of matching the deadline of a received call with those of the running calls. If a backend server's calls
/// don't name their parent, the parent is inferred from the deadline: a child call's deadline is its parent's, rounded
/// to milliseconds, or an earlier one.
struct DeadlineMatch {
    /// The running call with the nearest deadline, if the difference is within the rounding tolerance.
    std::optional<CallContext> nearest;
    /// Whether any running call has the same or a later deadline.
    bool canBeChild = false;
    /// The probability that a deadline matches by coincidence, estimated from the number of other deadlines nearby.
    double coincidenceProbability = 0;
};

class CallsInFlight
{
public:
    void add(const CallContext &context);
    /// Removes a call. Returns its outcome with the rest of its retry allowance, the path headroom reported by its
    /// child calls, and the reason ChildCallFailed if a server error follows a failed child call.
    CallOutcome remove(const CallId &callId, const CallOutcome &outcome);
    /// The context of the call, or nothing if it is not running here.
    std::optional<CallContext> find(const CallId &callId) const;
    DeadlineMatch findByDeadline(TimePoint deadline) const;
    /// Deducts a child call's portion from the call's retry allowance and returns it.
    int takeAllowance(const CallId &callId);
    /// A child call completed: refunds its unused retries and records its path headroom. Ignored if the call itself has
    /// completed.
    void onChildCompleted(const CallId &callId, const CallOutcome &outcome);
    std::size_t size() const;

private:
    struct Entry {
        CallContext m_context; ///< Its retry allowance excludes the portions of child calls.
        bool m_hasFailedChild = false;
        double m_headroomBelow = 0; ///< Lowest path headroom of the child calls; 0: none reported.
    };
    using Table = std::unordered_map<CallId, Entry>;
    SharedTable<Table> m_table{LockRank::CallsInFlight};
};

} // namespace fescuepond
