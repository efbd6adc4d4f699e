// Conversion of deadlines between two nodes whose monotonic clocks have different origins.

#pragma once

#include "core/kernel/clock.h"
#include "core/value.h"

#include <compare>
#include <cstdint>
#include <optional>

namespace fescuepond
{

/// A deadline as encoded in a message.
class WireDeadline
{
    FESCUEPOND_FIELD(std::int64_t, remainingNs, withRemainingNs); ///< Remaining time when the message was sent.
    FESCUEPOND_FIELD(std::int64_t, senderClockNs, withSenderClockNs); ///< The deadline on the sender's clock.
    FESCUEPOND_FIELD(std::int64_t, calleeClockNs, withCalleeClockNs); ///< The same on the receiver's; 0: not known.

public:
    friend auto operator<=>(const WireDeadline &, const WireDeadline &) = default;
};

/// Two clocks differ by at most this for each second.
constexpr double MaxClockDrift = 100e-6;
/// An older reading of a callee's clock isn't used.
constexpr Duration MaxReadingAge = std::chrono::minutes(10);
/// How much the drift adds to the error of the oldest reading that is used.
constexpr Duration MaxDriftError = std::chrono::duration_cast<Duration>(MaxReadingAge * MaxClockDrift);

/// A reading of the callee's clock, which the callee returned in the reply to a request. The callee read its clock
/// between sentAt and receivedAt, so a deadline that is converted as if that was at receivedAt is never too late.
class CalleeClock
{
    FESCUEPOND_FIELD(std::int64_t, remoteNs, withRemoteNs);
    FESCUEPOND_FIELD(TimePoint, sentAt, withSentAt);
    FESCUEPOND_FIELD(TimePoint, receivedAt, withReceivedAt);

public:
    friend auto operator<=>(const CalleeClock &, const CalleeClock &) = default;
};

/// The reading to use from now on: the one that gives the later, and thus more exact, deadlines; always the measured
/// one if the two can't both be right, since then one of the clocks has jumped.
CalleeClock betterReading(const CalleeClock &known, const CalleeClock &measured);
/// `time` on the callee's clock. Too early by the round trip of the reading and the drift since at most, never too
/// late.
std::int64_t toCalleeClock(TimePoint time, const CalleeClock &reading);

/// Relates the clock of the node at the other end of a connection to the local clock, from its hello request.
class CallerClock
{
    FESCUEPOND_FIELD(std::int64_t, remoteNs, withRemoteNs); ///< The remote clock when hello was sent.
    FESCUEPOND_FIELD(TimePoint, receivedAt, withReceivedAt); ///< The local clock when hello was received.

public:
    friend auto operator<=>(const CallerClock &, const CallerClock &) = default;
};

std::int64_t toWireClock(TimePoint time);
WireDeadline toWire(TimePoint deadline, TimePoint now, const std::optional<CalleeClock> &callee);

/// The deadline on the local clock. Not too late if the sender knows this node's clock, even if this message was
/// delayed for long; otherwise too late by the transmission delay of hello at most.
TimePoint fromWire(const WireDeadline &deadline, const CallerClock &clock, TimePoint now);
/// The same without knowledge of the remote clock: too late by the transmission delay of this message.
TimePoint fromWire(const WireDeadline &deadline, TimePoint now);

/// How long ago the message with this deadline was sent, as far as the relation of the clocks is right.
Duration transmissionDelay(const WireDeadline &deadline, const CallerClock &clock, TimePoint now);

} // namespace fescuepond
