// The callee's side of the peer protocol.

#pragma once

#include "core/pipeline/interfaces.h"
#include "modules/peer/peer.capnp.h"
#include "modules/peer/peerclock.h"

#include <map>
#include <optional>

namespace fescuepond
{

class Kernel;

using PeerHandlers = std::map<PeerTopic, PeerHandler>;

/// What serves the requests of other nodes, whichever connection they come by.
struct PeerServices {
    Kernel &kernel;
    const TargetPipeline &pipeline;
    AttemptSettlement &settlement;
    CallCancellation &cancellation;
    const PeerHandlers &handlers;
    const Incarnation incarnation; ///< Of this node's process.
};

/// Serves the requests on one connection. Lives on the event loop's thread; the work itself runs on the pool.
class PeerServer final : public wire::Peer::Server
{
public:
    explicit PeerServer(const PeerServices &services);

    /// Whether the other end has said hello in this version of the protocol.
    bool hasReceivedHello() const
    {
        return m_clock.has_value();
    }

    kj::Promise<void> hello(HelloContext context) override;
    kj::Promise<void> call(CallContext context) override;
    kj::Promise<void> settle(SettleContext context) override;
    kj::Promise<void> cancel(CancelContext context) override;
    kj::Promise<void> ask(AskContext context) override;
    kj::Promise<void> ping(PingContext context) override;

private:
    /// Throws when the other end hasn't said hello in this version of the protocol.
    const PeerClock &clockOfPeer() const;

    const PeerServices &m_services;
    std::optional<PeerClock> m_clock; ///< Nothing before a hello that was accepted.
};

} // namespace fescuepond
