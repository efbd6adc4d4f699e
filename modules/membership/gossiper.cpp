// Sends and answers the messages of the gossip protocol.

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
constexpr Duration SyncInterval = std::chrono::seconds(10);
constexpr Duration SeedJoinInterval = std::chrono::seconds(2);
constexpr Duration ProbeTimeout = std::chrono::seconds(1);
/// Longer than ProbeTimeout, so that the prober's own probe can time out before its reply is due.
constexpr Duration IndirectProbeTimeout = ProbeTimeout + std::chrono::milliseconds(500);
constexpr Duration RelayTimeout = std::chrono::milliseconds(500);
constexpr std::size_t IndirectProberCount = 3;
/// Members tried in turn as the relay of one part of a broadcast, until one acknowledges.
constexpr std::size_t MaxRelayAttempts = 4;

} // namespace

struct Gossiper::IndirectProbe {
    Member m_probed;
    std::atomic<std::size_t> m_pending = 0; ///< Outstanding replies, plus one until all requests are sent.
    std::atomic<bool> m_hasProberAnswered = false; ///< At least one prober replied.
    std::atomic<bool> m_isReachable = false; ///< At least one prober reached the member.
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
    m_kernel.timers().every(SyncInterval, [this] {
        const auto member = m_members.read([](const MemberView &view) {
            return chooseSyncPeer(view, randomWord());
        });
        if (member) {
            syncWith(member->peerAddress());
        }
    });
    joinViaSeeds();
    m_kernel.timers().every(SeedJoinInterval, [this] {
        joinViaSeeds();
    });
}

void Gossiper::tick()
{
    updateOwnConfigurationVersion();
    m_members.update([this](MemberView view) {
        return expireMembers(std::move(view), m_kernel.clock().now());
    });
    probe();
}

void Gossiper::joinViaSeeds()
{
    // All nodes listed at the platform may have stopped, so the seed peers are asked until some member has been in
    // contact.
    const bool isAlone = m_members.read([](const MemberView &view) {
        return !view.hasContacts();
    });
    if (!isAlone) {
        return;
    }
    for (const std::string &seed : m_kernel.settings().seedPeers()) {
        syncWith(seed);
    }
}

void Gossiper::probe()
{
    const auto probed = m_members.read([](const MemberView &view) {
        return chooseProbeTarget(view, randomWord());
    });
    if (!probed) {
        return;
    }
    const GossipRequest request = m_members.step([&](MemberView view) {
        return makeProbe(std::move(view), probed->name());
    });
    sendRequest(probed->peerAddress(), request, ProbeTimeout, [this, probed](const std::optional<GossipReply> &reply) {
        if (!reply && probed->state() != MemberState::Dead) {
            probeIndirectly(*probed);
        }
    });
}

void Gossiper::probeIndirectly(const Member &probed)
{
    const Members probers = m_members.read([&](const MemberView &view) {
        return chooseAliveMembers(view, probed.name(), IndirectProberCount, randomWord());
    });
    m_kernel.metrics().count("fescuepond_gossip_indirect_probes_total");
    const auto indirectProbe = std::make_shared<IndirectProbe>();
    indirectProbe->m_probed = probed;
    indirectProbe->m_pending = probers.size() + 1;
    // Without any other member, the failed direct probe alone decides.
    indirectProbe->m_hasProberAnswered = probers.empty();
    for (const Member &prober : probers) {
        const GossipRequest request = GossipRequest()
                                          .withKind(GossipKind::IndirectProbe)
                                          .withSender(m_members.self())
                                          .withAddress(probed.peerAddress())
                                          .withWanted({probed.name()});
        sendRequest(prober.peerAddress(),
                    request,
                    IndirectProbeTimeout,
                    [this, indirectProbe](const std::optional<GossipReply> &reply) {
                        handleIndirectProbeReply(indirectProbe, reply);
                    });
    }
    // Releases this function's own count in m_pending.
    handleIndirectProbeReply(indirectProbe, std::nullopt);
}

void Gossiper::handleIndirectProbeReply(const std::shared_ptr<IndirectProbe> &probe,
                                        const std::optional<GossipReply> &reply)
{
    if (reply) {
        probe->m_hasProberAnswered = true;
    }
    if (reply && reply->isReachable()) {
        probe->m_isReachable = true;
    }
    const bool isLast = --probe->m_pending == 0;
    if (!isLast || probe->m_isReachable || !probe->m_hasProberAnswered) {
        return;
    }
    Event("probe_failed").with("member", probe->m_probed.name());
    m_members.update([&](MemberView view) {
        return recordProbeFailure(std::move(view), probe->m_probed, m_kernel.clock().now());
    });
}

void Gossiper::syncWith(const std::string &address)
{
    const GossipRequest request = m_members.read([](const MemberView &view) {
        return makeDigestSync(view);
    });
    sendRequest(address, request, ProbeTimeout, [this, address](const std::optional<GossipReply> &reply) {
        if (reply) {
            syncRecords(address, *reply);
        }
    });
}

void Gossiper::syncRecords(const std::string &address, const GossipReply &digestReply)
{
    const auto request = m_members.read([&](const MemberView &view) {
        return makeRecordSync(view, digestReply);
    });
    if (request) {
        sendRequest(address, *request, ProbeTimeout, [](const std::optional<GossipReply> &) {});
    }
}

void Gossiper::sendRequest(const std::string &address,
                           const GossipRequest &request,
                           Duration timeout,
                           ReplyHandler handler)
{
    std::string body = encode(request);
    countBytes("sent", body.size());
    m_peers.ask(address,
                PeerTopic::Gossip,
                std::move(body),
                timeout,
                [this, handler = std::move(handler)](const std::optional<std::string> &replyBody) {
                    const auto reply = replyBody ? decodeReply(*replyBody) : std::nullopt;
                    if (reply) {
                        countBytes("received", replyBody->size());
                        m_members.update([&](MemberView view) {
                            return mergeReply(std::move(view), *reply, m_kernel.clock().now());
                        });
                        reportConfigurationVersion(reply->sender());
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
    const GossipReply answer = m_members.step([&](MemberView view) {
        return answerRequest(std::move(view), *request, m_kernel.clock().now());
    });
    reportConfigurationVersion(request->sender());
    if (request->kind() == GossipKind::IndirectProbe && !request->wanted().empty()) {
        probeOnBehalf(*request, answer, reply);
        return;
    }
    sendReply(answer, reply);
}

void Gossiper::probeOnBehalf(const GossipRequest &request, const GossipReply &answer, const PeerReply &reply)
{
    const GossipRequest probe = m_members.step([&](MemberView view) {
        return makeProbe(std::move(view), *request.wanted().begin());
    });
    sendRequest(
        request.address(), probe, ProbeTimeout, [this, answer, reply](const std::optional<GossipReply> &probed) {
            sendReply(answer.withIsReachable(probed.has_value()), reply);
        });
}

void Gossiper::sendReply(const GossipReply &answer, const PeerReply &reply)
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
    if (relay >= std::min(part.relays().size(), MaxRelayAttempts)) {
        return;
    }
    std::string body = encode(part.message());
    countBytes("sent", body.size());
    m_peers.ask(part.relays()[relay].peerAddress(),
                PeerTopic::Leaving,
                std::move(body),
                RelayTimeout,
                [this, part, relay](const std::optional<std::string> &replyBody) {
                    if (!replyBody) {
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
        return mergeRecords(std::move(view), {message->record()}, m_kernel.clock().now());
    });
    reply(std::string());
    broadcast(*message);
}

void Gossiper::reportConfigurationVersion(const Member &sender)
{
    if (sender.configurationVersion() > ownConfigurationVersion()) {
        m_configuration.versionSeen(sender, sender.configurationVersion());
    }
}

void Gossiper::updateOwnConfigurationVersion()
{
    const ConfigurationVersion version = ownConfigurationVersion();
    m_members.update([&](MemberView view) {
        Member self = view.self().withConfigurationVersion(version);
        return std::move(view).withSelf(std::move(self));
    });
}

ConfigurationVersion Gossiper::ownConfigurationVersion() const
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
