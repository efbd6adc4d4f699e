// Broadcast along a tree.

#include "servers/membership/broadcast.h"

#include "servers/membership/memberrecord.h"

#include <algorithm>

namespace fescuepond
{

namespace
{

constexpr std::size_t FanOut = 8;

/// Members that are to get the message and are not dead, by the hash of their names.
Members receiversOf(const MemberView &view, const BroadcastMessage &message)
{
    Members receivers;
    for (const Member &member : view.others()) {
        const bool isSubject = member.name() == message.record().name();
        const bool hasIt = isSubject || message.passed().contains(member.name());
        if (!hasIt && message.range().contains(nameHash(member.name()))) {
            receivers.push_back(member);
        }
    }
    std::sort(receivers.begin(), receivers.end(), [](const Member &a, const Member &b) {
        return nameHash(a.name()) < nameHash(b.name());
    });
    return receivers;
}

/// Members that are alive first, so that a part is not entrusted to one that may be gone.
Members inOrderOfTrust(Members members)
{
    std::stable_partition(members.begin(), members.end(), [](const Member &member) {
        return member.state() == MemberState::Alive;
    });
    return members;
}

} // namespace

std::vector<BroadcastPart> splitBroadcast(const MemberView &view, const BroadcastMessage &message)
{
    const Members receivers = receiversOf(view, message);
    const std::size_t count = std::min(FanOut, receivers.size());
    NameSet passed = message.passed();
    passed.insert(view.self().name());
    std::vector<BroadcastPart> parts;
    // The parts border on each other, so that a member that only the relay knows falls into one of them.
    std::uint64_t first = message.range().first();
    for (std::size_t i = 0; i < count; ++i) {
        const std::size_t begin = receivers.size() * i / count;
        const std::size_t end = receivers.size() * (i + 1) / count;
        const bool isLast = i + 1 == count;
        const std::uint64_t last = isLast ? message.range().last() : nameHash(receivers[end].name()) - 1;
        const HashRange range = HashRange().withFirst(first).withLast(last);
        Members relays(receivers.begin() + static_cast<std::ptrdiff_t>(begin),
                       receivers.begin() + static_cast<std::ptrdiff_t>(end));
        parts.push_back(BroadcastPart()
                            .withMessage(message.withRange(range).withPassed(passed))
                            .withRelays(inOrderOfTrust(std::move(relays))));
        first = last + 1;
    }
    return parts;
}

} // namespace fescuepond
