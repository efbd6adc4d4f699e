// The callee's side of the peer protocol.

#pragma once

#include "core/pipeline/interfaces.h"
#include "modules/peer/peer.capnp.h"

#include <map>

namespace fescuepond
{

class Kernel;

using PeerHandlers = std::map<PeerTopic, PeerHandler>;

/// Serves requests of other nodes. Lives on the event loop's thread; the work itself runs on the pool.
class PeerServer final : public wire::Peer::Server
{
public:
    PeerServer(Kernel &kernel, const TargetPipeline &pipeline, const PeerHandlers &handlers);

    kj::Promise<void> hello(HelloContext context) override;
    kj::Promise<void> call(CallContext context) override;
    kj::Promise<void> settle(SettleContext context) override;
    kj::Promise<void> cancel(CancelContext context) override;
    kj::Promise<void> ask(AskContext context) override;
    kj::Promise<void> ping(PingContext context) override;

private:
    Kernel &m_kernel;
    const TargetPipeline &m_pipeline;
    const PeerHandlers &m_handlers;
};

} // namespace fescuepond
