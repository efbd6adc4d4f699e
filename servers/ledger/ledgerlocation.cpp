// Which node to ask for a ledger, and which nodes can take one over.

#include "servers/ledger/ledgerlocation.h"

#include <algorithm>

namespace fescuepond
{

namespace
{

/// The members that accept new work, without `self`.
Members aliveOthers(const Member &self, const Members &members)
{
    Members others;
    std::copy_if(members.begin(), members.end(), std::back_inserter(others), [&](const Member &member) {
        return member.state() == MemberState::Alive && member.name() != self.name();
    });
    return others;
}

} // namespace

MovedLedgers::MovedLedgers(std::size_t limit)
    : m_limit(limit)
{
}

void MovedLedgers::add(const Incarnation &owner, const std::string &address)
{
    const bool isNew = m_addresses.insert_or_assign(owner, address).second;
    if (!isNew) {
        return;
    }
    m_order.push_back(owner);
    if (m_order.size() > m_limit) {
        m_addresses.erase(m_order.front());
        m_order.pop_front();
    }
}

std::optional<std::string> MovedLedgers::find(const Incarnation &owner) const
{
    const auto found = m_addresses.find(owner);
    return found == m_addresses.end() ? std::nullopt : std::optional(found->second);
}

std::string ownerAddress(const Ticket &ticket, const MovedLedgers &moved, const Members &members)
{
    const Incarnation &owner = ticket.location().owner();
    if (const auto address = moved.find(owner)) {
        return *address;
    }
    const auto member = std::find_if(members.begin(), members.end(), [&](const Member &candidate) {
        return candidate.incarnation() == owner;
    });
    return member == members.end() ? ticket.address() : member->peerAddress();
}

Members successorsOf(const Member &self, const Members &members)
{
    Members successors = aliveOthers(self, members);
    // The order differs from node to node, so that one node does not receive the ledgers of a whole zone.
    const auto distance = [&](const Member &member) {
        return member.incarnation().low() ^ self.incarnation().low();
    };
    std::sort(successors.begin(), successors.end(), [&](const Member &a, const Member &b) {
        const bool isNearA = a.zone() == self.zone();
        const bool isNearB = b.zone() == self.zone();
        return isNearA != isNearB ? isNearA : distance(a) < distance(b);
    });
    return successors;
}

Members membersToAsk(const Member &self, const Members &members, std::size_t count, std::uint64_t seed)
{
    Members others = aliveOthers(self, members);
    if (others.size() > count) {
        std::rotate(others.begin(), others.begin() + static_cast<std::ptrdiff_t>(seed % others.size()), others.end());
        others.resize(count);
    }
    return others;
}

} // namespace fescuepond
