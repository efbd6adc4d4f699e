// Table of the cancellable calls that this node has sent, by their parent: the attempt or HTTP request that they were
// made for.

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
    FESCUEPOND_FIELD(std::string, address, withAddress); ///< Of the target; empty if it is this node.
    FESCUEPOND_FIELD(TimePoint, deadline, withDeadline);

public:
    friend auto operator<=>(const OutgoingCall &, const OutgoingCall &) = default;
};

class OutgoingCalls
{
public:
    void add(const AttemptId &parent, const OutgoingCall &call);
    void remove(const AttemptId &parent, const AttemptId &attemptId);
    /// Marks `parent` as abandoned, so that none of its later calls is sent, and returns its calls in flight.
    std::vector<OutgoingCall> abandon(const AttemptId &parent);
    bool isAbandoned(const AttemptId &parent) const;

private:
    struct Table {
        std::multimap<AttemptId, OutgoingCall> m_byParent;
        std::set<AttemptId> m_abandoned; ///< Recently abandoned parents.
        std::deque<AttemptId> m_abandonedOrder; ///< The entries of m_abandoned, oldest first.
    };
    SharedTable<Table> m_table{LockRank::PeerConnections};
};

} // namespace fescuepond
