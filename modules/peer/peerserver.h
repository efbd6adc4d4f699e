// The server side of the peer protocol.

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

/// Dependencies shared by the servers of all connections.
struct PeerServices {
    Kernel &kernel;
    const TargetPipeline &pipeline;
    AttemptSettlement &settlement;
    CallCancellation &cancellation;
    const PeerHandlers &handlers;
    const Incarnation incarnation; ///< Of this node.
};

/// Serves the requests on one connection. Used only on the event loop's thread; handlers run on the worker pool.
class PeerServer final : public wire::Peer::Server
{
public:
    explicit PeerServer(const PeerServices &services);

    /// Whether the other end has sent hello with this protocol version.
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
    /// Throws if the other end hasn't sent hello with this protocol version.
    const CallerClock &clockOfPeer() const;
    void logIfDelayed(wire::Call::Reader message, TimePoint now) const;

    const PeerServices &m_services;
    std::optional<CallerClock> m_clock; ///< Empty until a hello with this protocol version was received.
};

} // namespace fescuepond
