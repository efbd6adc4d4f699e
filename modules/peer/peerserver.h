// The server side of the peer protocol.

#pragma once

#include "core/pipeline/interfaces.h"
#include "modules/peer/bodytransfer.h"
#include "modules/peer/peer.capnp.h"
#include "modules/peer/peerclock.h"

#include <kj/timer.h>

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
    PeerServer(const PeerServices &services, kj::Timer &timer);

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
    void logDelay(wire::Call::Reader message, Duration delay, TimePoint now) const;
    /// Fetches the body of the call and passes it on; rejects it if there is no room for the body.
    kj::Promise<void> fetchAndSubmit(const CallRequest &call, const AttemptId &attemptId, CallContext context);
    /// Passes the request to its handler and sends the reply.
    kj::Promise<void> answer(const PeerHandler &handler, const Body &request, AskContext context);
    kj::Promise<void> reply(const CallOutcome &outcome, const AttemptId &attemptId, CallContext context);
    /// Passes the call to the target pipeline and sends the reply.
    kj::Promise<void> submit(const CallRequest &call, const AttemptId &attemptId, CallContext context);

    const PeerServices &m_services;
    kj::Timer &m_timer;
    BodyPlacement m_bodyPlacement = BodyPlacement::InMessage; ///< Where the other end takes bodies.
    std::optional<CallerClock> m_clock; ///< Empty until a hello with this protocol version was received.
};

} // namespace fescuepond
