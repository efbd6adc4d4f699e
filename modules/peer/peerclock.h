// Conversion of deadlines between two nodes whose monotonic clocks have different origins.

#pragma once

#include "core/kernel/clock.h"
#include "core/value.h"

#include <compare>
#include <cstdint>

namespace fescuepond
{

/// A deadline as encoded in a message.
class WireDeadline
{
    FESCUEPOND_FIELD(std::int64_t, remainingNs, withRemainingNs); ///< Remaining time when the message was sent.
    FESCUEPOND_FIELD(std::int64_t, senderClockNs, withSenderClockNs); ///< The deadline on the sender's clock.

public:
    friend auto operator<=>(const WireDeadline &, const WireDeadline &) = default;
};

/// Relates the clock of the node at the other end of a connection to the local clock, from its hello request.
class PeerClock
{
    FESCUEPOND_FIELD(std::int64_t, remoteNs, withRemoteNs); ///< The remote clock when hello was sent.
    FESCUEPOND_FIELD(TimePoint, receivedAt, withReceivedAt); ///< The local clock when hello was received.

public:
    friend auto operator<=>(const PeerClock &, const PeerClock &) = default;
};

std::int64_t toWireClock(TimePoint time);
WireDeadline toWire(TimePoint deadline, TimePoint now);

/// The deadline on the local clock. It is never too early, and too late by the transmission delay of hello at most,
/// even if this message was delayed for long.
TimePoint fromWire(const WireDeadline &deadline, const PeerClock &clock, TimePoint now);
/// The same without knowledge of the remote clock: too late by the transmission delay of this message.
TimePoint fromWire(const WireDeadline &deadline, TimePoint now);

/// How long ago the message with this deadline was sent, as far as the relation of the clocks is right.
Duration transmissionDelay(const WireDeadline &deadline, const PeerClock &clock, TimePoint now);

} // namespace fescuepond
