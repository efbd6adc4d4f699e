// Where to look for a owner, and who can take one over.

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

/// Homes that have handed over, and the address of the node that has their records. Bounded by count: the oldest
/// entry goes first.
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

/// The address at which a ticket's owner is to be asked.
std::string ownerAddress(const Ticket &ticket, const MovedLedgers &moved, const Members &members);

/// Members that can take the records of `self` over, the best first: those of its zone, then the others.
Members successorsOf(const Member &self, const Members &members);

/// Members that may know where a owner has gone, at most `count`; `seed` spreads the load over all.
Members membersToAsk(const Member &self, const Members &members, std::size_t count, std::uint64_t seed);

} // namespace fescuepond
