// Conversion of deadlines between two nodes whose monotonic clocks have different origins.

#include "modules/peer/peerclock.h"

#include <algorithm>

namespace fescuepond
{

namespace
{

/// Time spans received from other nodes are clamped to this in both directions; longer ones are never valid.
constexpr Duration MaxSpan = std::chrono::hours(24);

Duration clamped(std::int64_t nanoseconds)
{
    return std::clamp(Duration(nanoseconds), -MaxSpan, MaxSpan);
}

/// `a - b` with wrap-around, since signed overflow would be undefined for arbitrary received values.
std::int64_t difference(std::int64_t a, std::int64_t b)
{
    return static_cast<std::int64_t>(static_cast<std::uint64_t>(a) - static_cast<std::uint64_t>(b));
}

/// The local time at which the clock that was read at `readAt` shows `remote`.
TimePoint localTime(std::int64_t remote, std::int64_t reading, TimePoint readAt)
{
    return readAt + clamped(difference(remote, reading));
}

/// The deadline on the local clock, as far as the nodes know each other's clocks.
TimePoint byClocks(const WireDeadline &deadline, const CallerClock &clock, TimePoint now)
{
    return deadline.calleeClockNs() != 0 ? localTime(deadline.calleeClockNs(), toWireClock(now), now)
                                         : localTime(deadline.senderClockNs(), clock.remoteNs(), clock.receivedAt());
}

Duration driftOver(Duration span)
{
    return std::chrono::duration_cast<Duration>(std::chrono::abs(span) * MaxClockDrift);
}

} // namespace

std::int64_t toWireClock(TimePoint time)
{
    return time.time_since_epoch().count();
}

CalleeClock betterReading(const CalleeClock &known, const CalleeClock &measured)
{
    const TimePoint at = measured.receivedAt();
    const Duration sinceKnown = at - known.sentAt();
    const Duration advance(difference(measured.remoteNs(), known.remoteNs()));
    const Duration leastAdvance = at - known.receivedAt() - driftOver(at - known.receivedAt());
    const Duration roundTrip = measured.receivedAt() - measured.sentAt();
    const bool isContradicted = advance + roundTrip < leastAdvance || advance > sinceKnown + driftOver(sinceKnown);
    return isContradicted || advance >= leastAdvance ? measured : known;
}

std::int64_t toCalleeClock(TimePoint time, const CalleeClock &reading)
{
    const Duration span = time - reading.receivedAt();
    return reading.remoteNs() + (span - driftOver(span)).count();
}

WireDeadline toWire(TimePoint deadline, TimePoint now, const std::optional<CalleeClock> &callee)
{
    return WireDeadline()
        .withRemainingNs((deadline - now).count())
        .withSenderClockNs(toWireClock(deadline))
        .withCalleeClockNs(callee ? toCalleeClock(deadline, *callee) : 0);
}

TimePoint fromWire(const WireDeadline &deadline, const CallerClock &clock, TimePoint now)
{
    return std::min(fromWire(deadline, now), byClocks(deadline, clock, now));
}

Duration transmissionDelay(const WireDeadline &deadline, const CallerClock &clock, TimePoint now)
{
    return now - (byClocks(deadline, clock, now) - clamped(deadline.remainingNs()));
}

TimePoint fromWire(const WireDeadline &deadline, TimePoint now)
{
    return now + clamped(deadline.remainingNs());
}

} // namespace fescuepond
