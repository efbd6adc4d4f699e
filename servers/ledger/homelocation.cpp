// Where to look for a home, and who can take one over.

#include "servers/ledger/homelocation.h"

#include <algorithm>

namespace fescuepond
{

namespace
{

/// The members that take new work, without `self`.
Members aliveOthers(const Member &self, const Members &members)
{
    Members others;
    std::copy_if(members.begin(), members.end(), std::back_inserter(others), [&](const Member &member) {
        return member.state() == MemberState::Alive && member.name() != self.name();
    });
    return others;
}

} // namespace

MovedHomes::MovedHomes(std::size_t limit)
    : m_limit(limit)
{
}

void MovedHomes::add(const Incarnation &home, const std::string &address)
{
    const bool isNew = m_addresses.insert_or_assign(home, address).second;
    if (!isNew) {
        return;
    }
    m_order.push_back(home);
    if (m_order.size() > m_limit) {
        m_addresses.erase(m_order.front());
        m_order.pop_front();
    }
}

std::optional<std::string> MovedHomes::find(const Incarnation &home) const
{
    const auto found = m_addresses.find(home);
    return found == m_addresses.end() ? std::nullopt : std::optional(found->second);
}

std::string addressOfHome(const Ticket &ticket, const MovedHomes &moved, const Members &members)
{
    const Incarnation &home = ticket.place().home();
    if (const auto address = moved.find(home)) {
        return *address;
    }
    const auto member = std::find_if(members.begin(), members.end(), [&](const Member &candidate) {
        return candidate.incarnation() == home;
    });
    return member == members.end() ? ticket.address() : member->peerAddress();
}

Members successorsOf(const Member &self, const Members &members)
{
    Members successors = aliveOthers(self, members);
    // The start of the order differs from home to home, so that one node does not get the records of a whole zone.
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
