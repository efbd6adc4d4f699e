// One open connection to another node, and how it is found to be silent.
//
// While requests on a connection are unanswered and nothing was heard for a while, it is pinged. If the ping isn't
// answered either, the connection is silent: all its requests fail at once, and no new one uses it.

#pragma once

#include "core/values/id.h"
#include "modules/peer/peer.capnp.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/timer.h>

#include <cstddef>
#include <cstdint>

namespace fescuepond
{

/// Without an answer for this long, a connection with unanswered requests is pinged.
constexpr kj::Duration PingInterval = 250 * kj::MILLISECONDS;
/// A connection whose ping is unanswered for this long is silent.
constexpr kj::Duration PingTimeout = 500 * kj::MILLISECONDS;

/// All functions only on the event loop's thread.
class PeerConnection : public kj::Refcounted
{
public:
    PeerConnection(kj::Own<kj::AsyncIoStream> stream, kj::Timer &timer, std::uint64_t maxMessageBytes);

    kj::Own<PeerConnection> addRef()
    {
        return kj::addRef(*this);
    }
    wire::Peer::Client &peer()
    {
        return m_peer;
    }

    /// The life of the process at the other end; set once it has answered hello.
    const Incarnation &incarnation() const
    {
        return m_incarnation;
    }
    void setIncarnation(const Incarnation &incarnation)
    {
        m_incarnation = incarnation;
    }

    /// Whether new requests may use it; those on it may still end.
    bool isUsable() const
    {
        return m_isUsable;
    }
    void markUnusable()
    {
        m_isUsable = false;
    }

    /// Watches over the reply to a request: it fails when the connection is found to be silent. Keeps the connection.
    template<typename T>
    kj::Promise<T> withLivenessCheck(kj::Promise<T> reply)
    {
        countRequest();
        auto end = kj::defer([self = addRef()]() mutable {
            --self->m_pendingRequests;
        });
        auto silence = m_unresponsive.addBranch().then([]() -> kj::Promise<T> {
            return KJ_EXCEPTION(DISCONNECTED, "the connection is silent");
        });
        return reply
            .then([this](T &&value) {
                m_lastReceived = m_timer.now();
                return kj::mv(value);
            })
            .exclusiveJoin(kj::mv(silence))
            .attach(kj::mv(end));
    }

private:
    void countRequest();
    kj::Promise<void> checkLiveness();
    kj::Promise<void> ping();

    kj::Timer &m_timer;
    // Declared in the order in which each needs the one before.
    kj::Own<kj::AsyncIoStream> m_stream;
    capnp::TwoPartyVatNetwork m_network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> m_rpc;
    wire::Peer::Client m_peer;

    Incarnation m_incarnation;
    bool m_isUsable = true;
    std::size_t m_pendingRequests = 0;
    kj::TimePoint m_lastReceived;
    bool m_isLivenessCheckRunning = false; ///< True from the first unanswered request until none is left.
    kj::Own<kj::PromiseFulfiller<void>> m_unresponsiveFulfiller;
    kj::ForkedPromise<void> m_unresponsive;
    kj::Promise<void> m_livenessCheck;
    kj::Promise<void> m_disconnect;
};

} // namespace fescuepond
