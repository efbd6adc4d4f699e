// Tests of the conversion of deadlines between two nodes whose monotonic clocks have different origins.
//
// They guard against a deadline that the callee sees too early, or later than by the transmission delay of hello, and
// against overflow with the extreme values that a faulty node may send.

#include "modules/peer/peerclock.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <limits>

namespace fescuepond
{

RC_GTEST_PROP(PeerClockProperty, DeadlineIsNeverTooEarlyAndLateByAtMostTheDelayOfHello, ())
{
    const TimePoint origin = ManualClock().now();
    const auto milliseconds = [](int from, int to) {
        return Duration(std::chrono::milliseconds(*rc::gen::inRange(from, to)));
    };
    const Duration offset = milliseconds(-1'000'000, 1'000'000); // Of the remote clock.
    const Duration helloDelay = milliseconds(0, 1000);
    const Duration callDelay = milliseconds(0, 600'000);
    const Duration untilCall = milliseconds(0, 100'000);
    const Duration untilDeadline = milliseconds(0, 30'000);

    const PeerClock clock = PeerClock().withRemoteNs(toWireClock(origin + offset)).withReceivedAt(origin + helloDelay);
    const TimePoint sent = origin + untilCall;
    const TimePoint deadline = sent + untilDeadline;
    const WireDeadline wire = toWire(deadline + offset, sent + offset);
    const TimePoint decoded = fromWire(wire, clock, sent + callDelay);
    RC_ASSERT(decoded >= deadline);
    RC_ASSERT(decoded <= deadline + helloDelay);
}

TEST(PeerClock, ExtremeValuesAreClamped)
{
    constexpr auto Min = std::numeric_limits<std::int64_t>::min();
    constexpr auto Max = std::numeric_limits<std::int64_t>::max();
    const TimePoint now = ManualClock().now();
    for (const std::int64_t value : {Min, Max}) {
        for (const std::int64_t remote : {Min, Max}) {
            const PeerClock clock = PeerClock().withRemoteNs(remote).withReceivedAt(now);
            const TimePoint decoded =
                fromWire(WireDeadline().withRemainingNs(value).withSenderClockNs(value), clock, now);
            EXPECT_LE(decoded, now + std::chrono::hours(24));
            EXPECT_GE(decoded, now - std::chrono::hours(24));
        }
    }
}

} // namespace fescuepond
