// Deadlines between two nodes whose clocks have no common zero.

#include "modules/peer/peerclock.h"

#include <algorithm>

namespace fescuepond
{

namespace
{

/// Bounds of a time span that another node gives; what lies outside is nonsense.
constexpr Duration MaxSpan = std::chrono::hours(24);

Duration clamped(std::int64_t nanoseconds)
{
    return std::clamp(Duration(nanoseconds), -MaxSpan, MaxSpan);
}

/// `a - b` without overflow, however odd the values are.
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
    const TimePoint byClock = clock.receivedAt() + clamped(difference(deadline.senderClockNs(), clock.remoteNs()));
    return std::min(fromWire(deadline, now), byClock);
}

TimePoint fromWire(const WireDeadline &deadline, TimePoint now)
{
    return now + clamped(deadline.remainingNs());
}

} // namespace fescuepond
