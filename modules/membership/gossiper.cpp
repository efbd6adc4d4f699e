// Sends and answers the messages of the gossip.

#include "modules/membership/gossiper.h"

#include "core/kernel/eventlog.h"
#include "core/kernel/kernel.h"
#include "core/kernel/random.h"
#include "modules/membership/gossipencoding.h"

#include <atomic>

namespace fescuepond
{

namespace
{

constexpr Duration ProbeInterval = std::chrono::seconds(1);
constexpr Duration CompareInterval = std::chrono::seconds(10);
constexpr Duration SeedInterval = std::chrono::seconds(2);
constexpr Duration ProbeTimeout = std::chrono::seconds(1);
/// A helper's own probe has to fit in.
constexpr Duration HelperTimeout = ProbeTimeout + std::chrono::milliseconds(500);
constexpr Duration RelayTimeout = std::chrono::milliseconds(500);
constexpr std::size_t HelperCount = 3;
/// Members that are tried in turn as relay of one part of a broadcast.
constexpr std::size_t RelayTries = 4;

} // namespace

struct Gossiper::IndirectProbe {
    Member m_probed;
    std::atomic<std::size_t> m_waiting = 0;
    std::atomic<bool> m_helped = false; ///< Some helper answered at all.
    std::atomic<bool> m_reached = false; ///< Some helper got an answer.
};

Gossiper::Gossiper(Kernel &kernel, SharedMembers &members)
    : m_kernel(kernel)
    , m_members(members)
    , m_peers(kernel.require<PeerMessages>())
    , m_configuration(kernel.require<ConfigurationSource>())
{
}

void Gossiper::start()
{
    m_peers.setHandler(PeerTopic::Gossip, [this](const std::string &body, const PeerReply &reply) {
        handle(body, reply);
    });
    m_peers.setHandler(PeerTopic::Leaving, [this](const std::string &body, const PeerReply &reply) {
        handleBroadcast(body, reply);
    });
    m_kernel.timers().every(ProbeInterval, [this] {
        tick();
    });
    m_kernel.timers().every(CompareInterval, [this] {
        const auto member = m_members.read([](const MemberView &view) {
            return chooseCompared(view, randomWord());
        });
        if (member) {
            compareWith(member->peerAddress());
        }
    });
    joinBySeeds();
    m_kernel.timers().every(SeedInterval, [this] {
        joinBySeeds();
    });
}

void Gossiper::tick()
{
    refreshOwnVersion();
    m_members.update([this](MemberView view) {
        return expired(std::move(view), m_kernel.clock().now());
    });
    probe();
}

void Gossiper::joinBySeeds()
{
    // The platform may list none but nodes that are gone.
    const bool isAlone = m_members.read([](const MemberView &view) {
        return !view.hasContacts();
    });
    if (!isAlone) {
        return;
    }
    for (const std::string &seed : m_kernel.settings().seedPeers()) {
        compareWith(seed);
    }
}

void Gossiper::probe()
{
    const auto probed = m_members.read([](const MemberView &view) {
        return chooseProbed(view, randomWord());
    });
    if (!probed) {
        return;
    }
    const GossipRequest request = m_members.step([&](MemberView view) {
        return makeProbe(std::move(view), probed->name());
    });
    ask(probed->peerAddress(), request, ProbeTimeout, [this, probed](const std::optional<GossipReply> &reply) {
        if (!reply && probed->state() != MemberState::Dead) {
            probeByHelpers(*probed);
        }
    });
}

void Gossiper::probeByHelpers(const Member &probed)
{
    const Members helpers = m_members.read([&](const MemberView &view) {
        return chooseHelpers(view, probed.name(), HelperCount, randomWord());
    });
    m_kernel.metrics().count("fescuepond_gossip_indirect_probes_total");
    const auto indirect = std::make_shared<IndirectProbe>();
    indirect->m_probed = probed;
    indirect->m_waiting = helpers.size() + 1;
    // A fleet without a helper has only the direct probe to judge by.
    indirect->m_helped = helpers.empty();
    for (const Member &helper : helpers) {
        const GossipRequest request = GossipRequest()
                                          .withKind(GossipKind::ProbeFor)
                                          .withSender(m_members.self())
                                          .withAddress(probed.peerAddress())
                                          .withWanted({probed.name()});
        ask(helper.peerAddress(), request, HelperTimeout, [this, indirect](const std::optional<GossipReply> &reply) {
            helperAnswered(indirect, reply);
        });
    }
    helperAnswered(indirect, std::nullopt);
}

void Gossiper::helperAnswered(const std::shared_ptr<IndirectProbe> &probe, const std::optional<GossipReply> &reply)
{
    if (reply) {
        probe->m_helped = true;
    }
    if (reply && reply->reached()) {
        probe->m_reached = true;
    }
    const bool isLast = --probe->m_waiting == 0;
    if (!isLast || probe->m_reached || !probe->m_helped) {
        return;
    }
    Event("probe_failed").with("member", probe->m_probed.name());
    m_members.update([&](MemberView view) {
        return probeFailed(std::move(view), probe->m_probed, m_kernel.clock().now());
    });
}

void Gossiper::compareWith(const std::string &address)
{
    const GossipRequest request = m_members.read([](const MemberView &view) {
        return makeCompare(view);
    });
    ask(address, request, ProbeTimeout, [this, address](const std::optional<GossipReply> &reply) {
        if (reply) {
            exchange(address, *reply);
        }
    });
}

void Gossiper::exchange(const std::string &address, const GossipReply &compared)
{
    const auto request = m_members.read([&](const MemberView &view) {
        return makeExchange(view, compared);
    });
    if (request) {
        ask(address, *request, ProbeTimeout, [](const std::optional<GossipReply> &) {});
    }
}

void Gossiper::ask(const std::string &address, const GossipRequest &request, Duration timeout, ReplyHandler handler)
{
    std::string body = encode(request);
    countBytes("sent", body.size());
    m_peers.ask(address,
                PeerTopic::Gossip,
                std::move(body),
                timeout,
                [this, handler = std::move(handler)](const std::optional<std::string> &answered) {
                    const auto reply = answered ? decodeReply(*answered) : std::nullopt;
                    if (reply) {
                        countBytes("received", answered->size());
                        m_members.update([&](MemberView view) {
                            return received(std::move(view), *reply, m_kernel.clock().now());
                        });
                        noteVersion(reply->sender());
                    }
                    handler(reply);
                });
}

void Gossiper::handle(const std::string &body, const PeerReply &reply)
{
    countBytes("received", body.size());
    const auto request = decodeRequest(body);
    if (!request) {
        reply(std::nullopt);
        return;
    }
    const GossipReply answered = m_members.step([&](MemberView view) {
        return answer(std::move(view), *request, m_kernel.clock().now());
    });
    noteVersion(request->sender());
    if (request->kind() == GossipKind::ProbeFor && !request->wanted().empty()) {
        probeFor(*request, answered, reply);
        return;
    }
    send(answered, reply);
}

void Gossiper::probeFor(const GossipRequest &request, const GossipReply &answer, const PeerReply &reply)
{
    const GossipRequest probe = m_members.step([&](MemberView view) {
        return makeProbe(std::move(view), *request.wanted().begin());
    });
    ask(request.address(), probe, ProbeTimeout, [this, answer, reply](const std::optional<GossipReply> &probed) {
        send(answer.withReached(probed.has_value()), reply);
    });
}

void Gossiper::send(const GossipReply &answer, const PeerReply &reply)
{
    std::string body = encode(answer);
    countBytes("sent", body.size());
    reply(std::move(body));
}

void Gossiper::broadcast(const BroadcastMessage &message)
{
    const auto parts = m_members.read([&](const MemberView &view) {
        return splitBroadcast(view, message);
    });
    for (const BroadcastPart &part : parts) {
        sendPart(part, 0);
    }
}

void Gossiper::sendPart(const BroadcastPart &part, std::size_t relay)
{
    if (relay >= std::min(part.relays().size(), RelayTries)) {
        return;
    }
    std::string body = encode(part.message());
    countBytes("sent", body.size());
    m_peers.ask(part.relays()[relay].peerAddress(),
                PeerTopic::Leaving,
                std::move(body),
                RelayTimeout,
                [this, part, relay](const std::optional<std::string> &answered) {
                    if (!answered) {
                        sendPart(part, relay + 1);
                    }
                });
}

void Gossiper::handleBroadcast(const std::string &body, const PeerReply &reply)
{
    countBytes("received", body.size());
    const auto message = decodeBroadcast(body);
    if (!message) {
        reply(std::nullopt);
        return;
    }
    m_members.update([&](MemberView view) {
        return merged(std::move(view), {message->record()}, m_kernel.clock().now());
    });
    reply(std::string());
    broadcast(*message);
}

void Gossiper::noteVersion(const Member &sender)
{
    if (sender.configurationVersion() > ownVersion()) {
        m_configuration.versionSeen(sender, sender.configurationVersion());
    }
}

void Gossiper::refreshOwnVersion()
{
    const ObjectVersion version = ownVersion();
    m_members.update([&](MemberView view) {
        Member self = view.self().withConfigurationVersion(version);
        return std::move(view).withSelf(std::move(self));
    });
}

ObjectVersion Gossiper::ownVersion() const
{
    const auto configuration = m_configuration.configuration();
    return configuration ? configuration->version() : 0;
}

void Gossiper::countBytes(const char *direction, std::size_t bytes)
{
    m_kernel.metrics().count("fescuepond_gossip_bytes_total", {{"direction", direction}}, bytes);
    m_kernel.metrics().count("fescuepond_gossip_messages_total", {{"direction", direction}});
}

} // namespace fescuepond
