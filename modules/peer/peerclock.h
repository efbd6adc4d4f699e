// Deadlines between two nodes whose clocks have no common zero.

#pragma once

#include "core/kernel/clock.h"
#include "core/value.h"

#include <compare>
#include <cstdint>

namespace fescuepond
{

/// A deadline as a message carries it.
class WireDeadline
{
    FESCUEPOND_FIELD(std::int64_t, remainingNs, withRemainingNs); ///< Time left when the message was made.
    FESCUEPOND_FIELD(std::int64_t, senderClockNs, withSenderClockNs); ///< The deadline on the sender's clock.

public:
    friend auto operator<=>(const WireDeadline &, const WireDeadline &) = default;
};

/// The clock of the other end of a connection, as its first message gave it.
class PeerClock
{
    FESCUEPOND_FIELD(std::int64_t, remoteNs, withRemoteNs); ///< What it showed when the message was made.
    FESCUEPOND_FIELD(TimePoint, receivedAt, withReceivedAt); ///< When the message arrived, on the own clock.

public:
    friend auto operator<=>(const PeerClock &, const PeerClock &) = default;
};

std::int64_t toWireClock(TimePoint time);
WireDeadline toWire(TimePoint deadline, TimePoint now);

/// The deadline on the own clock: never too early, and too late by at most the way of the first message, even if this
/// message was held up for long.
TimePoint fromWire(const WireDeadline &deadline, const PeerClock &clock, TimePoint now);
/// The same without the other's clock: too late by the way of this message.
TimePoint fromWire(const WireDeadline &deadline, TimePoint now);

} // namespace fescuepond
