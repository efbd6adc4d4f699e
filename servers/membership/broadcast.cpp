// Broadcast along a tree.

#include "servers/membership/broadcast.h"

#include "servers/membership/memberrecord.h"

#include <algorithm>

namespace fescuepond
{

namespace
{

constexpr std::size_t FanOut = 8;

/// Members in the range that have not received the message and are not dead, ordered by the hash of their names.
Members recipientsOf(const MemberView &view, const BroadcastMessage &message)
{
    Members recipients;
    for (const Member &member : view.others()) {
        const bool isSubject = member.name() == message.record().name();
        const bool hasReceived = isSubject || message.visited().contains(member.name());
        if (!hasReceived && message.range().contains(nameHash(member.name()))) {
            recipients.push_back(member);
        }
    }
    std::sort(recipients.begin(), recipients.end(), [](const Member &a, const Member &b) {
        return nameHash(a.name()) < nameHash(b.name());
    });
    return recipients;
}

/// Moves alive members to the front, so that a suspect member is chosen as relay only if no other is left.
Members aliveFirst(Members members)
{
    std::stable_partition(members.begin(), members.end(), [](const Member &member) {
        return member.state() == MemberState::Alive;
    });
    return members;
}

} // namespace

std::vector<BroadcastPart> splitBroadcast(const MemberView &view, const BroadcastMessage &message)
{
    const Members recipients = recipientsOf(view, message);
    const std::size_t count = std::min(FanOut, recipients.size());
    NameSet visited = message.visited();
    visited.insert(view.self().name());
    std::vector<BroadcastPart> parts;
    // The subranges are contiguous, so that a member that only the relay knows falls into one of them.
    std::uint64_t first = message.range().first();
    for (std::size_t i = 0; i < count; ++i) {
        const std::size_t begin = recipients.size() * i / count;
        const std::size_t end = recipients.size() * (i + 1) / count;
        const bool isLast = i + 1 == count;
        const std::uint64_t last = isLast ? message.range().last() : nameHash(recipients[end].name()) - 1;
        const HashRange range = HashRange().withFirst(first).withLast(last);
        Members relays(recipients.begin() + static_cast<std::ptrdiff_t>(begin),
                       recipients.begin() + static_cast<std::ptrdiff_t>(end));
        parts.push_back(BroadcastPart()
                            .withMessage(message.withRange(range).withVisited(visited))
                            .withRelays(aliveFirst(std::move(relays))));
        first = last + 1;
    }
    return parts;
}

} // namespace fescuepond
