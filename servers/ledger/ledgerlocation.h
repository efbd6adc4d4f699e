// Which node to ask for a ledger (the records of the idempotency keys that one node incarnation owns), and which nodes
// can take one over.

#pragma once

#include "core/kernel/clock.h"
#include "core/values/member.h"
#include "servers/ledger/key.h"

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace fescuepond
{

/// Ledgers that were transferred, by their owner, with the address of the node that holds each now. Bounded by count:
/// the oldest entry is evicted first.
class MovedLedgers
{
public:
    explicit MovedLedgers(std::size_t limit);
    void add(const Incarnation &owner, const std::string &address);
    std::optional<std::string> find(const Incarnation &owner) const;
    std::size_t size() const
    {
        return m_addresses.size();
    }

private:
    std::size_t m_limit;
    std::unordered_map<Incarnation, std::string> m_addresses;
    std::deque<Incarnation> m_order; ///< Has exactly the keys of m_addresses, the oldest first.
};

/// Peer address of the node to ask for a ticket's key: from `moved`, else from the member list, else from the ticket.
std::string ownerAddress(const Ticket &ticket, const MovedLedgers &moved, const Members &members);

/// Members that can take over the ledgers of `self`, in order of preference: those of its availability zone first.
Members successorsOf(const Member &self, const Members &members);

/// At most `count` members to ask where a ledger was transferred to; `seed` spreads the load over all members.
Members membersToAsk(const Member &self, const Members &members, std::size_t count, std::uint64_t seed);

} // namespace fescuepond
