// The calls that the local backend server runs at this moment.
//
// A backend copies the call identifier of the request that it serves to the calls it makes. The local listener looks
// it up here, and so knows the root request, rank, deadline and retry allowance without trusting a header.

#pragma once

#include "core/kernel/sharedtable.h"
#include "core/values/call.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
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
    bool mayBeChild = false;
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
    /// Of the calls of these kinds that expire at `deadline` or later, the one that most likely makes a call now: a
    /// backend server that makes its calls in turn waits for the one before, so it is the one with the fewest calls of
    /// its own, and of those the one that has been so for longest.
    std::optional<CallContext> likelyParent(const std::set<std::string> &kinds, TimePoint deadline) const;
    /// A child call is made: takes the part of the call's retry allowance that it gets and returns it. childEnded()
    /// follows.
    int childBegins(const CallId &callId);
    /// A child call ended: its unused retries come back, and what it told of the room on its path is kept. Ignored when
    /// the call itself has ended.
    void childEnded(const CallId &callId, const CallOutcome &outcome);
    std::size_t size() const;

private:
    struct Entry {
        CallContext m_context; ///< Its retry allowance is what is left after the children took theirs.
        bool m_hasFailedChild = false;
        double m_roomBelow = 0; ///< Least room on a path below that an answer told of; 0: none told.
        int m_children = 0; ///< Child calls that have not ended.
        std::uint64_t m_changed = 0; ///< Place of the last change of m_children among all changes.
    };
    struct Table {
        std::unordered_map<CallId, Entry> m_calls;
        std::uint64_t m_changes = 0;
    };
    SharedTable<Table> m_table{LockRank::CallsInFlight};
};

} // namespace fescuepond
