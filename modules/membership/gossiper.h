// Sends and answers the messages of the gossip protocol; the decisions are in servers/membership/gossip.h.

#pragma once

#include "core/pipeline/interfaces.h"
#include "modules/membership/sharedmembers.h"
#include "servers/membership/broadcast.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace fescuepond
{

class Kernel;

class Gossiper
{
public:
    Gossiper(Kernel &kernel, SharedMembers &members);

    /// Starts to answer requests and to probe.
    void start();
    /// Runs an anti-entropy sync with the member at `address`.
    void syncWith(const std::string &address);
    /// Relays `message` to the members of its range.
    void broadcast(const BroadcastMessage &message);

private:
    using ReplyHandler = std::function<void(const std::optional<GossipReply> &)>;

    /// Collects the replies of the members that probe on behalf of this node.
    struct IndirectProbe;

    void tick();
    void joinViaSeeds();
    void probe();
    void probeIndirectly(const Member &probed);
    void handleIndirectProbeReply(const std::shared_ptr<IndirectProbe> &probe, const std::optional<GossipReply> &reply);
    void syncRecords(const std::string &address, const GossipReply &digestReply);
    void sendRequest(const std::string &address, const GossipRequest &request, Duration timeout, ReplyHandler handler);
    void sendPart(const BroadcastPart &part, std::size_t relay);

    void handle(const std::string &body, const PeerReply &reply);
    void probeOnBehalf(const GossipRequest &request, const GossipReply &answer, const PeerReply &reply);
    void handleBroadcast(const std::string &body, const PeerReply &reply);
    void sendReply(const GossipReply &answer, const PeerReply &reply);

    void reportConfigurationVersion(const Member &sender);
    void updateOwnConfigurationVersion();
    ConfigurationVersion ownConfigurationVersion() const;
    void countBytes(const char *direction, std::size_t bytes);

    Kernel &m_kernel;
    SharedMembers &m_members;
    PeerMessages &m_peers;
    ConfigurationSource &m_configuration;
};

} // namespace fescuepond
