// One open connection to another node, with detection of an unresponsive peer.
//
// If a request is pending and no reply has arrived for PingInterval, a ping is sent. A request that is answered sooner
// costs none, also on a connection that was idle before. If a ping isn't answered within
// PingTimeout, the connection counts as unresponsive: all pending requests fail at once, and no new one uses it. The
// replies to pings carry the other node's clock, so a connection with requests is also pinged once in ReadingInterval,
// and more often until that clock is known well.

#pragma once

#include "core/kernel/clock.h"
#include "core/values/id.h"
#include "modules/peer/bodytransfer.h"
#include "modules/peer/peer.capnp.h"
#include "modules/peer/peerclock.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/timer.h>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace fescuepond
{

constexpr kj::Duration PingInterval = 250 * kj::MILLISECONDS;
constexpr kj::Duration PingTimeout = 500 * kj::MILLISECONDS;
constexpr Duration ReadingInterval = std::chrono::seconds(10);
/// A reading of the other node's clock with a longer round trip is renewed after InexactReadingInterval.
constexpr Duration MaxExactRoundTrip = std::chrono::milliseconds(20);
constexpr Duration InexactReadingInterval = std::chrono::seconds(1);

/// May be used only on the event loop's thread.
class PeerConnection : public kj::Refcounted
{
public:
    PeerConnection(kj::Own<kj::AsyncIoStream> stream,
                   kj::Timer &timer,
                   const Clock &clock,
                   std::uint64_t maxMessageBytes);

    kj::Own<PeerConnection> addRef()
    {
        return kj::addRef(*this);
    }
    wire::Peer::Client &peer()
    {
        return m_peer;
    }

    /// The incarnation of the node at the other end; set once hello was answered.
    const Incarnation &incarnation() const
    {
        return m_incarnation;
    }
    void setIncarnation(const Incarnation &incarnation)
    {
        m_incarnation = incarnation;
    }
    /// Where the other end takes bodies; set once hello was answered.
    BodyPlacement bodyPlacement() const
    {
        return m_bodyPlacement;
    }
    void setBodyPlacement(BodyPlacement placement)
    {
        m_bodyPlacement = placement;
    }

    /// The clock of the node at the other end; nothing if that node doesn't tell it.
    const std::optional<CalleeClock> &calleeClock() const
    {
        return m_calleeClock;
    }
    /// Adds a reading from the reply, which has just arrived, to a request that was sent at `sentAt`. Ignored if it is
    /// 0.
    void addClockReading(std::int64_t remoteNs, TimePoint sentAt);
    /// Whether the reading in use is too old.
    bool needsNewReading(TimePoint now) const
    {
        return m_calleeClock && now - m_calleeClock->receivedAt() > MaxReadingAge;
    }

    /// Whether new requests may use the connection. On an unusable one, pending requests may still complete.
    bool isUsable() const
    {
        return m_isUsable;
    }
    void markUnusable()
    {
        m_isUsable = false;
    }

    /// Makes the reply to a request fail if the connection becomes unresponsive. Keeps the connection alive until the
    /// reply has arrived or failed.
    template<typename T>
    kj::Promise<T> withLivenessCheck(kj::Promise<T> reply)
    {
        countRequest();
        auto decrement = kj::defer([self = addRef()]() mutable {
            --self->m_pendingRequests;
        });
        auto unresponsive = m_unresponsive.addBranch().then([]() -> kj::Promise<T> {
            return KJ_EXCEPTION(DISCONNECTED, "the peer did not answer a ping in time");
        });
        return reply
            .then([this](T &&value) {
                m_lastReceived = m_timer.now();
                return kj::mv(value);
            })
            .exclusiveJoin(kj::mv(unresponsive))
            .attach(kj::mv(decrement));
    }

private:
    void countRequest();
    bool isReadingDue() const;
    kj::Promise<void> checkLiveness();
    kj::Promise<void> ping();

    kj::Timer &m_timer;
    const Clock &m_clock;
    // Order matters: each of these four uses the ones before it.
    kj::Own<kj::AsyncIoStream> m_stream;
    capnp::TwoPartyVatNetwork m_network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> m_rpc;
    wire::Peer::Client m_peer;

    Incarnation m_incarnation;
    BodyPlacement m_bodyPlacement = BodyPlacement::InMessage;
    std::optional<CalleeClock> m_calleeClock; ///< The best reading so far.
    TimePoint m_lastReadingAt{}; ///< Of the latest reading, whether or not it is the one in use.
    bool m_isUsable = true;
    std::size_t m_pendingRequests = 0;
    kj::TimePoint m_lastReceived;
    /// When the first request after the latest reply was sent while no other was pending.
    kj::TimePoint m_pendingSince;
    bool m_isLivenessCheckRunning = false; ///< True while requests are pending.
    kj::Own<kj::PromiseFulfiller<void>> m_unresponsiveFulfiller;
    kj::ForkedPromise<void> m_unresponsive;
    kj::Promise<void> m_livenessCheck;
    kj::Promise<void> m_disconnect;
};

} // namespace fescuepond
