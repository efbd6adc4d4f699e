// Deadlines between two nodes whose clocks have no common zero.

#include "modules/peer/peerclock.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <limits>

namespace fescuepond
{

RC_GTEST_PROP(PeerClockProperty, DeadlineIsNeverTooEarlyAndLateByAtMostTheWayOfTheHello, ())
{
    const TimePoint origin = ManualClock().now();
    const auto milliseconds = [](int from, int to) {
        return Duration(std::chrono::milliseconds(*rc::gen::inRange(from, to)));
    };
    const Duration offset = milliseconds(-1'000'000, 1'000'000); // Between the two clocks.
    const Duration helloWay = milliseconds(0, 1000);
    const Duration callWay = milliseconds(0, 600'000);
    const Duration untilCall = milliseconds(0, 100'000);
    const Duration untilDeadline = milliseconds(0, 30'000);

    const PeerClock clock = PeerClock().withRemoteNs(toWireClock(origin + offset)).withReceivedAt(origin + helloWay);
    const TimePoint sent = origin + untilCall;
    const TimePoint deadline = sent + untilDeadline;
    const WireDeadline wire = toWire(deadline + offset, sent + offset);
    const TimePoint seen = fromWire(wire, clock, sent + callWay);
    RC_ASSERT(seen >= deadline);
    RC_ASSERT(seen <= deadline + helloWay);
}

TEST(PeerClock, OddValuesAreBounded)
{
    constexpr auto Least = std::numeric_limits<std::int64_t>::min();
    constexpr auto Most = std::numeric_limits<std::int64_t>::max();
    const TimePoint now = ManualClock().now();
    for (const std::int64_t value : {Least, Most}) {
        for (const std::int64_t theirs : {Least, Most}) {
            const PeerClock clock = PeerClock().withRemoteNs(theirs).withReceivedAt(now);
            const TimePoint seen = fromWire(WireDeadline().withRemainingNs(value).withSenderClockNs(value), clock, now);
            EXPECT_LE(seen, now + std::chrono::hours(24));
            EXPECT_GE(seen, now - std::chrono::hours(24));
        }
    }
}

} // namespace fescuepond
