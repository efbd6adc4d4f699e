// Broadcast along a tree: a record reaches all members within a few hops, while each node retransmissions it only to a
// few.
//
// The members are ordered by the hash of their names. A node splits its range of hashes into parts and retransmissions
// the record to one member of each, which does the same with its part.

#pragma once

#include "servers/membership/memberview.h"

#include <cstdint>
#include <limits>
#include <vector>

namespace fescuepond
{

/// Hashes from `first` to `last`, both included.
class HashRange
{
    FESCUEPOND_FIELD(std::uint64_t, first, withFirst);
    FESCUEPOND_FIELD(std::uint64_t, last, withLast);

public:
    static HashRange all()
    {
        return HashRange().withLast(std::numeric_limits<std::uint64_t>::max());
    }
    bool contains(std::uint64_t hash) const
    {
        return first() <= hash && hash <= last();
    }
    friend auto operator<=>(const HashRange &, const HashRange &) = default;
};

class BroadcastMessage
{
    FESCUEPOND_FIELD(Member, record, withRecord);
    FESCUEPOND_FIELD(HashRange, range, withRange); ///< The receiver retransmissions it on to these.
    FESCUEPOND_FIELD(NameSet, visited, withVisited); ///< Members on the way from the sender to the receiver.

public:
    friend auto operator<=>(const BroadcastMessage &, const BroadcastMessage &) = default;
};

/// The message for one part of a range, and the members that can take it over, the preferred first.
class BroadcastPart
{
    FESCUEPOND_FIELD(BroadcastMessage, message, withMessage);
    FESCUEPOND_FIELD(Members, relays, withRelays); ///< Not empty.

public:
    friend auto operator<=>(const BroadcastPart &, const BroadcastPart &) = default;
};

/// Splits the range of `message`. Neither this node nor one that the message has visited gets it restarted, so it ends.
std::vector<BroadcastPart> splitBroadcast(const MemberView &view, const BroadcastMessage &message);

} // namespace fescuepond
