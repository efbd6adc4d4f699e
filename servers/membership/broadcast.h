// Broadcast along a tree: a record reaches all members in a few hops, and each node sends it to a few others only.
//
// Members are ordered by the hash of their names. A node splits its range of hashes into subranges and sends the record
// to one member of each, which relays it within its subrange in the same way.

#pragma once

#include "servers/membership/memberview.h"

#include <cstdint>
#include <limits>
#include <vector>

namespace fescuepond
{

/// Hashes from `first` to `last`, inclusive.
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
    FESCUEPOND_FIELD(HashRange, range, withRange); ///< The receiver relays the record to members in this range.
    FESCUEPOND_FIELD(NameSet, visited, withVisited); ///< Members that relayed the message on its path to the receiver.

public:
    friend auto operator<=>(const BroadcastMessage &, const BroadcastMessage &) = default;
};

/// The message for one subrange, and the members that can relay it, in order of preference.
class BroadcastPart
{
    FESCUEPOND_FIELD(BroadcastMessage, message, withMessage);
    FESCUEPOND_FIELD(Members, relays, withRelays); ///< Never empty.

public:
    friend auto operator<=>(const BroadcastPart &, const BroadcastPart &) = default;
};

/// Splits the range of `message`. Neither this node nor a node on the path of the message gets it again, so that
/// relaying terminates.
std::vector<BroadcastPart> splitBroadcast(const MemberView &view, const BroadcastMessage &message);

} // namespace fescuepond
