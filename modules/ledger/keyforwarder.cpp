// Finds the home of a key and sends calls there.

#include "modules/ledger/keyforwarder.h"

#include "core/kernel/eventlog.h"

#include <algorithm>

namespace fescuepond
{

namespace
{

constexpr std::size_t MaxMovedHomes = 16'384;
constexpr int MaxHops = 6;
constexpr std::size_t MembersAsked = 3;
/// Longer than it takes to give a connection up.
constexpr Duration LocateTimeout = std::chrono::milliseconds(1'100);
/// Added to a call's remaining time: the home ends the call at its deadline, and its answer is still on its way.
constexpr Duration DeadlineGrace = std::chrono::milliseconds(100);

} // namespace

KeyForwarder::KeyForwarder(Kernel &kernel, PeerMessages &messages, const Membership &membership)
    : m_kernel(kernel)
    , m_messages(messages)
    , m_membership(membership)
    , m_moved(LockRank::KeyRecords, MaxMovedHomes)
{
}

void KeyForwarder::forward(const Ticket &ticket, const CallRequest &call, const Done &done)
{
    m_kernel.metrics().count("fescuepond_keyed_calls_forwarded_total");
    const auto search = std::make_shared<Search>(ticket, call, done, MaxHops);
    const Members members = m_membership.all();
    ask(search, m_moved.locked([&](const MovedHomes &moved) {
        return addressOfHome(ticket, moved, members);
    }));
}

void KeyForwarder::enterElsewhere(const CallRequest &call, const Done &done)
{
    const Members successors = successorsOf(m_membership.self(), m_membership.all());
    if (successors.empty()) {
        done(CallOutcome::notRun(Reason::Leaving, "this node is leaving and knows no other"));
        return;
    }
    m_messages.ask(successors.front().peerAddress(),
                   PeerTopic::KeyedCall,
                   encodeKeyedCall(KeyPlace(), call, m_kernel.clock().now()),
                   timeLeft(call),
                   [done](const std::optional<std::string> &bytes) {
                       const auto reply = bytes ? decodeKeyedReply(*bytes) : std::nullopt;
                       const bool hasOutcome = reply && reply->kind() == KeyedReplyKind::Outcome;
                       done(hasOutcome ? reply->outcome()
                                       : CallOutcome::unknown(Reason::ConnectionLost,
                                                              "no answer from the node that took the call over"));
                   });
}

void KeyForwarder::homeMoved(const Incarnation &home, const std::string &address)
{
    m_moved.locked([&](MovedHomes &moved) {
        moved.add(home, address);
    });
}

std::optional<std::string> KeyForwarder::movedTo(const Incarnation &home) const
{
    return m_moved.locked([&](const MovedHomes &moved) {
        return moved.find(home);
    });
}

void KeyForwarder::ask(const SearchPointer &search, const std::string &address)
{
    if (search->m_hopsLeft-- == 0 || timeLeft(search->m_call) <= Duration::zero()) {
        giveUp(*search);
        return;
    }
    m_messages.ask(address,
                   PeerTopic::KeyedCall,
                   encodeKeyedCall(search->m_ticket.place(), search->m_call, m_kernel.clock().now()),
                   timeLeft(search->m_call),
                   [this, search, address](const std::optional<std::string> &bytes) {
                       answered(search, address, bytes);
                   });
}

void KeyForwarder::answered(const SearchPointer &search,
                            const std::string &address,
                            const std::optional<std::string> &bytes)
{
    const auto reply = bytes ? decodeKeyedReply(*bytes) : std::nullopt;
    if (reply && reply->kind() == KeyedReplyKind::Outcome) {
        search->m_done(reply->outcome());
        return;
    }
    if (reply && reply->kind() == KeyedReplyKind::Moved && reply->address() != address) {
        homeMoved(search->m_ticket.place().home(), reply->address());
        ask(search, reply->address());
        return;
    }
    if (!bytes && search->m_repeatsLeft-- > 0) {
        ask(search, address);
        return;
    }
    Event("key_home_missing").with("home", search->m_ticket.place().home().toString()).with("asked", address);
    if (search->m_askedOthers) {
        giveUp(*search);
        return;
    }
    search->m_askedOthers = true;
    const auto seed = static_cast<std::uint64_t>(m_kernel.clock().now().time_since_epoch().count());
    Members members = m_membership.all();
    std::erase_if(members, [&](const Member &member) {
        return member.incarnation() == search->m_ticket.place().home();
    });
    locate(search, membersToAsk(m_membership.self(), members, MembersAsked, seed));
}

void KeyForwarder::locate(const SearchPointer &search, const Members &members)
{
    const Duration timeout = std::min(LocateTimeout, timeLeft(search->m_call));
    if (members.empty() || timeout <= Duration::zero()) {
        giveUp(*search);
        return;
    }
    const Incarnation home = search->m_ticket.place().home();
    const auto unanswered = std::make_shared<std::atomic<std::size_t>>(members.size());
    for (const Member &member : members) {
        m_messages.ask(member.peerAddress(),
                       PeerTopic::KeyRecords,
                       encodeLocate(home),
                       timeout,
                       [this, search, unanswered](const std::optional<std::string> &bytes) {
                           const auto reply = bytes ? decodeRecordsReply(*bytes) : std::nullopt;
                           const bool isNamed = reply && !reply->address().empty();
                           // Before the count falls, so that whoever sees the last reply knows of the first address.
                           const bool isFirst = isNamed && !search->m_isLocated.exchange(true);
                           const bool isLast = --*unanswered == 0;
                           if (isFirst) {
                               homeMoved(search->m_ticket.place().home(), reply->address());
                               ask(search, reply->address());
                           } else if (isLast && !search->m_isLocated) {
                               giveUp(*search);
                           }
                       });
    }
}

void KeyForwarder::giveUp(const Search &search)
{
    m_kernel.metrics().count("fescuepond_key_home_gone_total");
    search.m_done(
        CallOutcome::unknown(Reason::KeyHomeGone, "the home of the key does not answer; nobody else may run it"));
}

Duration KeyForwarder::timeLeft(const CallRequest &call) const
{
    return call.context().deadline() - m_kernel.clock().now() + DeadlineGrace;
}

} // namespace fescuepond
