// Finds the owner of a key and forwards calls to it.

#include "modules/ledger/keyforwarder.h"

#include "core/kernel/eventlog.h"

#include <algorithm>

namespace fescuepond
{

namespace
{

constexpr std::size_t MaxMovedLedgers = 16'384;
constexpr int MaxHops = 6;
constexpr std::size_t MaxMembersAsked = 3;
/// Longer than the time after which a connection to a peer is given up.
constexpr Duration LocateTimeout = std::chrono::milliseconds(1'100);
/// Added to a call's remaining time to get the time-out of the request to the key's owner, because a reply that the
/// owner sends at the deadline still has to arrive.
constexpr Duration DeadlineGrace = std::chrono::milliseconds(100);

} // namespace

KeyForwarder::KeyForwarder(Kernel &kernel, PeerMessages &messages, const Membership &membership)
    : m_kernel(kernel)
    , m_messages(messages)
    , m_membership(membership)
    , m_moved(LockRank::KeyRecords, MaxMovedLedgers)
{
}

void KeyForwarder::forward(const Ticket &ticket, const CallRequest &call, const Done &done)
{
    m_kernel.metrics().count("fescuepond_keyed_calls_forwarded_total");
    const auto forwarded = std::make_shared<ForwardedCall>(ticket, call, done, MaxHops);
    const Members members = m_membership.all();
    send(forwarded, m_moved.locked([&](const MovedLedgers &moved) {
        return ownerAddress(ticket, moved, members);
    }));
}

void KeyForwarder::submitElsewhere(const CallRequest &call, const Done &done)
{
    const Members successors = successorsOf(m_membership.self(), m_membership.all());
    if (successors.empty()) {
        done(CallOutcome::notRun(Reason::Leaving, "this node is leaving and knows no other node"));
        return;
    }
    m_messages.ask(successors.front().peerAddress(),
                   PeerTopic::KeyedCall,
                   encodeKeyedCall(KeyLocation(), call, m_kernel.clock().now()),
                   timeLeft(call),
                   [done](const std::optional<std::string> &bytes) {
                       const auto reply = bytes ? decodeKeyedReply(*bytes) : std::nullopt;
                       const bool hasOutcome = reply && reply->kind() == KeyedReplyKind::Outcome;
                       done(hasOutcome ? reply->outcome()
                                       : CallOutcome::unknown(Reason::ConnectionLost,
                                                              "no reply from the node that the call was forwarded to"));
                   });
}

void KeyForwarder::recordMovedLedger(const Incarnation &owner, const std::string &address)
{
    m_moved.locked([&](MovedLedgers &moved) {
        moved.add(owner, address);
    });
}

std::optional<std::string> KeyForwarder::movedTo(const Incarnation &owner) const
{
    return m_moved.locked([&](const MovedLedgers &moved) {
        return moved.find(owner);
    });
}

void KeyForwarder::send(const ForwardedCallPointer &forwarded, const std::string &address)
{
    if (forwarded->m_hopsLeft-- == 0 || timeLeft(forwarded->m_call) <= Duration::zero()) {
        giveUp(*forwarded);
        return;
    }
    m_messages.ask(address,
                   PeerTopic::KeyedCall,
                   encodeKeyedCall(forwarded->m_ticket.location(), forwarded->m_call, m_kernel.clock().now()),
                   timeLeft(forwarded->m_call),
                   [this, forwarded, address](const std::optional<std::string> &bytes) {
                       handleReply(forwarded, address, bytes);
                   });
}

void KeyForwarder::handleReply(const ForwardedCallPointer &forwarded,
                               const std::string &address,
                               const std::optional<std::string> &bytes)
{
    const auto reply = bytes ? decodeKeyedReply(*bytes) : std::nullopt;
    if (reply && reply->kind() == KeyedReplyKind::Outcome) {
        forwarded->m_done(reply->outcome());
        return;
    }
    if (reply && reply->kind() == KeyedReplyKind::Moved && reply->address() != address) {
        recordMovedLedger(forwarded->m_ticket.location().owner(), reply->address());
        send(forwarded, reply->address());
        return;
    }
    if (!bytes && forwarded->m_retriesLeft-- > 0) {
        send(forwarded, address);
        return;
    }
    Event("key_home_missing").with("home", forwarded->m_ticket.location().owner().toString()).with("asked", address);
    if (forwarded->m_hasAskedOthers) {
        giveUp(*forwarded);
        return;
    }
    forwarded->m_hasAskedOthers = true;
    const auto seed = static_cast<std::uint64_t>(m_kernel.clock().now().time_since_epoch().count());
    Members members = m_membership.all();
    std::erase_if(members, [&](const Member &member) {
        return member.incarnation() == forwarded->m_ticket.location().owner();
    });
    locate(forwarded, membersToAsk(m_membership.self(), members, MaxMembersAsked, seed));
}

void KeyForwarder::locate(const ForwardedCallPointer &forwarded, const Members &members)
{
    const Duration timeout = std::min(LocateTimeout, timeLeft(forwarded->m_call));
    if (members.empty() || timeout <= Duration::zero()) {
        giveUp(*forwarded);
        return;
    }
    const Incarnation owner = forwarded->m_ticket.location().owner();
    const auto unanswered = std::make_shared<std::atomic<std::size_t>>(members.size());
    for (const Member &member : members) {
        m_messages.ask(member.peerAddress(),
                       PeerTopic::KeyRecords,
                       encodeLocate(owner),
                       timeout,
                       [this, forwarded, unanswered](const std::optional<std::string> &bytes) {
                           const auto reply = bytes ? decodeRecordsReply(*bytes) : std::nullopt;
                           const bool hasAddress = reply && !reply->address().empty();
                           // Set before the count falls, so that the callback of the last reply sees that an address
                           // was found.
                           const bool isFirst = hasAddress && !forwarded->m_isLocated.exchange(true);
                           const bool isLast = --*unanswered == 0;
                           if (isFirst) {
                               recordMovedLedger(forwarded->m_ticket.location().owner(), reply->address());
                               send(forwarded, reply->address());
                           } else if (isLast && !forwarded->m_isLocated) {
                               giveUp(*forwarded);
                           }
                       });
    }
}

void KeyForwarder::giveUp(const ForwardedCall &forwarded)
{
    m_kernel.metrics().count("fescuepond_key_home_gone_total");
    forwarded.m_done(
        CallOutcome::unknown(Reason::KeyOwnerGone, "the key's owner did not answer; no other node may run the call"));
}

Duration KeyForwarder::timeLeft(const CallRequest &call) const
{
    return call.context().deadline() - m_kernel.clock().now() + DeadlineGrace;
}

} // namespace fescuepond
