// One open connection to another node, with detection of an unresponsive peer.

#include "modules/peer/peerconnection.h"

#include "core/kernel/eventlog.h"
#include "modules/peer/compressedstream.h"
#include "modules/peer/messagelimits.h"

#include <capnp/message.h>

#include <algorithm>

namespace fescuepond
{

namespace
{

/// The RPC interface of the node at the other end of the connection.
wire::Peer::Client peerOf(capnp::RpcSystem<capnp::rpc::twoparty::VatId> &rpc)
{
    capnp::MallocMessageBuilder message;
    auto vatId = message.initRoot<capnp::rpc::twoparty::VatId>();
    vatId.setSide(capnp::rpc::twoparty::Side::SERVER);
    return rpc.bootstrap(vatId).castAs<wire::Peer>();
}

} // namespace

PeerConnection::PeerConnection(kj::Own<kj::AsyncIoStream> stream,
                               kj::Timer &timer,
                               const Clock &clock,
                               std::uint64_t maxMessageBytes)
    : m_timer(timer)
    , m_clock(clock)
    , m_stream(kj::heap<CompressedStream>(kj::mv(stream), timer))
    , m_network(*m_stream, capnp::rpc::twoparty::Side::CLIENT, readerOptions(maxMessageBytes))
    , m_rpc(capnp::makeRpcClient(m_network))
    , m_peer(peerOf(m_rpc))
    , m_lastReceived(timer.now())
    , m_pendingSince(timer.now())
    , m_unresponsive(nullptr)
    , m_livenessCheck(nullptr)
    , m_disconnect(nullptr)
{
    auto pair = kj::newPromiseAndFulfiller<void>();
    m_unresponsiveFulfiller = kj::mv(pair.fulfiller);
    m_unresponsive = pair.promise.fork();
    m_disconnect = m_network.onDisconnect()
                       .then([this] {
                           m_isUsable = false;
                       })
                       .eagerlyEvaluate(nullptr);
}

void PeerConnection::addClockReading(std::int64_t remoteNs, TimePoint sentAt)
{
    const auto measured = CalleeClock().withRemoteNs(remoteNs).withSentAt(sentAt).withReceivedAt(m_clock.now());
    m_lastReadingAt = measured.receivedAt();
    if (remoteNs != 0) {
        m_calleeClock = m_calleeClock ? betterReading(*m_calleeClock, measured) : measured;
    }
}

bool PeerConnection::isReadingDue() const
{
    const bool isExact = !m_calleeClock || m_calleeClock->receivedAt() - m_calleeClock->sentAt() <= MaxExactRoundTrip;
    return m_clock.now() - m_lastReadingAt >= (isExact ? ReadingInterval : InexactReadingInterval);
}

void PeerConnection::countRequest()
{
    // Unless a reply has arrived since, the silence goes on, whatever became of the requests before.
    if (m_pendingRequests++ == 0 && m_lastReceived >= m_pendingSince) {
        m_pendingSince = m_timer.now();
    }
    if (m_isLivenessCheckRunning) {
        return;
    }
    m_isLivenessCheckRunning = true;
    m_livenessCheck = checkLiveness().eagerlyEvaluate([](kj::Exception &&) {
        // Ignored: the pending requests fail with the same error.
    });
}

kj::Promise<void> PeerConnection::checkLiveness()
{
    if (m_pendingRequests == 0 || !m_isUsable) {
        m_isLivenessCheckRunning = false;
        return kj::READY_NOW;
    }
    const bool isSilent = m_timer.now() - std::max(m_lastReceived, m_pendingSince) >= PingInterval;
    auto nextCheck = !isSilent && !isReadingDue() ? m_timer.afterDelay(PingInterval) : ping();
    return nextCheck.then([this] {
        return checkLiveness();
    });
}

kj::Promise<void> PeerConnection::ping()
{
    auto pong = m_peer.pingRequest().send().then([this, sentAt = m_clock.now()](auto response) {
        addClockReading(response.getClockNs(), sentAt);
    });
    return m_timer.timeoutAfter(PingTimeout, kj::mv(pong))
        .then(
            [this] {
                m_lastReceived = m_timer.now();
                // The next ping is sent after PingInterval, even if this one was answered at once.
                return m_timer.afterDelay(PingInterval);
            },
            [this](kj::Exception &&error) -> kj::Promise<void> {
                m_isUsable = false;
                m_unresponsiveFulfiller->fulfill();
                return kj::mv(error);
            });
}

} // namespace fescuepond
