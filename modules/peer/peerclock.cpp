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

} // namespace

std::int64_t toWireClock(TimePoint time)
{
    return time.time_since_epoch().count();
}

WireDeadline toWire(TimePoint deadline, TimePoint now)
{
    return WireDeadline().withRemainingNs((deadline - now).count()).withSenderClockNs(toWireClock(deadline));
}

TimePoint fromWire(const WireDeadline &deadline, const PeerClock &clock, TimePoint now)
{
    const TimePoint byRemoteClock =
        clock.receivedAt() + clamped(difference(deadline.senderClockNs(), clock.remoteNs()));
    return std::min(fromWire(deadline, now), byRemoteClock);
}

Duration transmissionDelay(const WireDeadline &deadline, const PeerClock &clock, TimePoint now)
{
    const std::int64_t sentNs = difference(deadline.senderClockNs(), deadline.remainingNs());
    return now - (clock.receivedAt() + clamped(difference(sentNs, clock.remoteNs())));
}

TimePoint fromWire(const WireDeadline &deadline, TimePoint now)
{
    return now + clamped(deadline.remainingNs());
}

} // namespace fescuepond
