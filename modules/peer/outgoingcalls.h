// Calls that this node has sent and that may be cancelled, by the attempt or request that they were made for.

#pragma once

#include "core/kernel/clock.h"
#include "core/kernel/sharedtable.h"
#include "core/value.h"
#include "core/values/id.h"

#include <compare>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace fescuepond
{

class OutgoingCall
{
    FESCUEPOND_FIELD(AttemptId, attemptId, withAttemptId);
    FESCUEPOND_FIELD(std::string, address, withAddress); ///< Of the target; empty when it is this node.
    FESCUEPOND_FIELD(TimePoint, deadline, withDeadline);

public:
    friend auto operator<=>(const OutgoingCall &, const OutgoingCall &) = default;
};

class OutgoingCalls
{
public:
    void add(const AttemptId &parent, const OutgoingCall &call);
    void remove(const AttemptId &parent, const AttemptId &attemptId);
    /// The calls of `parent`; it gets no further ones.
    std::vector<OutgoingCall> abandon(const AttemptId &parent);
    bool isAbandoned(const AttemptId &parent) const;

private:
    struct Table {
        std::multimap<AttemptId, OutgoingCall> m_byParent;
        std::set<AttemptId> m_abandoned; ///< Parents that were abandoned lately.
        std::deque<AttemptId> m_abandonedOrder; ///< Has exactly the entries of m_abandoned, the oldest first.
    };
    SharedTable<Table> m_table{LockRank::PeerConnections};
};

} // namespace fescuepond
