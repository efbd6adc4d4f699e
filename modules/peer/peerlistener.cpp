// Accepts connections from other nodes.

#include "modules/peer/peerlistener.h"

#include "core/kernel/eventlog.h"
#include "core/kernel/kernel.h"
#include "modules/peer/compressedstream.h"
#include "modules/peer/messagelimits.h"

#include <capnp/rpc-twoparty.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace fescuepond
{

namespace
{

constexpr std::size_t ConnectionLimit = 4096;
/// A connection without a hello request within this time is closed.
constexpr kj::Duration HelloTimeout = 5 * kj::SECONDS;
/// Until connections are accepted again after that has failed, as for want of descriptors.
constexpr kj::Duration AcceptPause = 250 * kj::MILLISECONDS;
// TCP keep-alive: an idle connection to an unreachable node is closed after 60 s.
constexpr int KeepAliveIdleSeconds = 30;
constexpr int KeepAliveIntervalSeconds = 10;
constexpr int KeepAliveProbes = 3;

void setOption(kj::AsyncIoStream &stream, int level, int option, int value)
{
    stream.setsockopt(level, option, &value, sizeof(value));
}

void keepAlive(kj::AsyncIoStream &stream)
{
    setOption(stream, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(stream, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
    setOption(stream, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
    setOption(stream, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
}

/// One accepted connection. Each member depends on the ones before.
struct IncomingConnection {
    IncomingConnection(kj::Own<kj::AsyncIoStream> stream,
                       kj::Timer &timer,
                       std::uint64_t maxMessageBytes,
                       kj::Own<PeerServer> server)
        : m_stream(kj::heap<CompressedStream>(kj::mv(stream), timer))
        , m_network(*m_stream, capnp::rpc::twoparty::Side::SERVER, readerOptions(maxMessageBytes))
        , m_server(*server)
        , m_rpc(capnp::makeRpcServer(m_network, wire::Peer::Client(kj::mv(server))))
    {
    }

    kj::Own<kj::AsyncIoStream> m_stream;
    capnp::TwoPartyVatNetwork m_network;
    const PeerServer &m_server; ///< Owned by m_rpc.
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> m_rpc;
};

} // namespace

PeerListener::PeerListener(kj::Own<kj::ConnectionReceiver> receiver, kj::Timer &timer, const PeerServices &services)
    : m_receiver(kj::mv(receiver))
    , m_timer(timer)
    , m_services(services)
    , m_maxMessageBytes(
          maxMessageBytes(services.kernel.settings().maxBodyBytes(), services.kernel.settings().maxHeaderBytes()))
    , m_connections(*this)
    , m_accepting(acceptNext().eagerlyEvaluate([](kj::Exception &&error) {
        Event("peer_listener_failed").with("error", error.getDescription().cStr());
    }))
{
}

kj::Promise<void> PeerListener::acceptNext()
{
    // A failure may be thrown instead of being the promise's result.
    auto accepted = kj::evalNow([this] {
        return m_receiver->accept();
    });
    return accepted.then(
        [this](kj::Own<kj::AsyncIoStream> stream) {
            if (m_connectionCount < ConnectionLimit) {
                m_connections.add(serve(kj::mv(stream)));
            }
            return acceptNext();
        },
        [this](kj::Exception &&error) {
            Event("peer_accept_failed").with("error", error.getDescription().cStr());
            return m_timer.afterDelay(AcceptPause).then([this] {
                return acceptNext();
            });
        });
}

kj::Promise<void> PeerListener::serve(kj::Own<kj::AsyncIoStream> stream)
{
    ++m_connectionCount;
    auto decrement = kj::defer([this] {
        --m_connectionCount;
    });
    keepAlive(*stream);
    auto incoming = kj::heap<IncomingConnection>(
        kj::mv(stream), m_timer, m_maxMessageBytes, kj::heap<PeerServer>(m_services, m_timer));
    auto disconnected = incoming->m_network.onDisconnect();
    auto noHello = m_timer.afterDelay(HelloTimeout).then([&server = incoming->m_server]() -> kj::Promise<void> {
        if (server.hasReceivedHello()) {
            return kj::NEVER_DONE;
        }
        return KJ_EXCEPTION(DISCONNECTED, "no hello request within the time-out");
    });
    return disconnected.exclusiveJoin(kj::mv(noHello)).attach(kj::mv(incoming), kj::mv(decrement));
}

void PeerListener::taskFailed(kj::Exception &&error)
{
    m_services.kernel.metrics().count("fescuepond_peer_connections_refused_total", {});
    Event("peer_connection_refused").with("error", error.getDescription().cStr());
}

} // namespace fescuepond
