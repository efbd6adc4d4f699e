// Calls that this node has sent and that may be cancelled, by the attempt or request that they were made for.

#pragma once

#include "core/kernel/clock.h"
#include "core/kernel/sharedtable.h"
#include "core/value.h"
#include "core/values/id.h"

#include <compare>
#include <map>
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
    std::vector<OutgoingCall> callsOf(const AttemptId &parent) const;

private:
    using Table = std::multimap<AttemptId, OutgoingCall>; ///< By parent.
    SharedTable<Table> m_table{LockRank::PeerConnections};
};

} // namespace fescuepond
