// Tests of the conversion of deadlines between two nodes whose monotonic clocks have different origins.
//
// They guard against a deadline that the callee takes for a later one, or for one that is earlier than the readings of
// its clock explain, and against overflow with the extreme values that a faulty node may send.

#include "modules/peer/peerclock.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <limits>

namespace fescuepond
{

namespace
{

Duration milliseconds(int from, int to)
{
    return std::chrono::milliseconds(*rc::gen::inRange(from, to));
}

/// The clock of a callee, which may run faster or slower than the caller's.
struct RemoteClock {
    Duration offset;
    double drift;

    std::int64_t at(TimePoint time) const
    {
        const Duration elapsed = time - ManualClock().now();
        return toWireClock(time + offset) + std::chrono::duration_cast<Duration>(elapsed * drift).count();
    }
};

CalleeClock readClock(const RemoteClock &remote, TimePoint sentAt, Duration there, Duration back)
{
    return CalleeClock()
        .withRemoteNs(remote.at(sentAt + there))
        .withSentAt(sentAt)
        .withReceivedAt(sentAt + there + back);
}

} // namespace

RC_GTEST_PROP(PeerClockProperty, DeadlineIsNeverTooLateAndEarlyByAtMostTheRoundTripAndTheDrift, ())
{
    const TimePoint origin = ManualClock().now();
    const RemoteClock remote = {milliseconds(-1'000'000, 1'000'000), *rc::gen::inRange(-90, 91) * 1e-6};
    const Duration there = milliseconds(0, 500);
    const Duration back = milliseconds(0, 400);
    CalleeClock reading = readClock(remote, origin, there, back);
    TimePoint now = reading.receivedAt();
    for (int i = *rc::gen::inRange(0, 5); i > 0; --i) {
        const Duration pause = milliseconds(0, 100'000);
        reading = betterReading(reading, readClock(remote, now + pause, milliseconds(0, 500), milliseconds(0, 500)));
        now = now + pause + std::chrono::seconds(1);
    }
    const TimePoint deadline = now + milliseconds(0, 30'000);
    const Duration callDelay = milliseconds(0, 600'000);
    const TimePoint arrival = now + callDelay;

    const WireDeadline wire = toWire(deadline, now, reading);
    const TimePoint arrivalThere = TimePoint(Duration(remote.at(arrival)));
    const TimePoint decoded = fromWire(wire, CallerClock(), arrivalThere);
    const TimePoint exact = TimePoint(Duration(remote.at(deadline)));
    RC_ASSERT(decoded <= std::max(exact, arrivalThere + (deadline - now)));
    RC_ASSERT(decoded <= exact);
    RC_ASSERT(decoded >= exact - there - back - MaxDriftError);
}

RC_GTEST_PROP(PeerClockProperty, ReadingAfterAClockHasJumpedReplacesTheOneBefore, ())
{
    const TimePoint origin = ManualClock().now();
    const RemoteClock remote = {milliseconds(-1'000'000, 1'000'000), 0};
    const CalleeClock before = readClock(remote, origin, milliseconds(0, 50), milliseconds(0, 50));
    const Duration jump = milliseconds(1000, 5000) * (*rc::gen::arbitrary<bool>() ? 1 : -1);
    const RemoteClock jumped = {remote.offset + jump, 0};
    const CalleeClock after =
        readClock(jumped, origin + milliseconds(200, 10'000), milliseconds(0, 50), milliseconds(0, 50));
    RC_ASSERT(betterReading(before, after) == after);
}

RC_GTEST_PROP(PeerClockProperty, DeadlineOfACallerThatKnowsNoCalleeClockIsLateByAtMostTheDelayOfHello, ())
{
    const TimePoint origin = ManualClock().now();
    const Duration offset = milliseconds(-1'000'000, 1'000'000); // Of the remote clock.
    const Duration helloDelay = milliseconds(0, 1000);
    const Duration callDelay = milliseconds(0, 600'000);
    const Duration untilCall = milliseconds(0, 100'000);
    const Duration untilDeadline = milliseconds(0, 30'000);

    const CallerClock clock =
        CallerClock().withRemoteNs(toWireClock(origin + offset)).withReceivedAt(origin + helloDelay);
    const TimePoint sent = origin + untilCall;
    const TimePoint deadline = sent + untilDeadline;
    const WireDeadline wire = toWire(deadline + offset, sent + offset, std::nullopt);
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
            const CallerClock clock = CallerClock().withRemoteNs(remote).withReceivedAt(now);
            const auto ofOldPeer = WireDeadline().withRemainingNs(value).withSenderClockNs(value);
            for (const WireDeadline &wire : {ofOldPeer, ofOldPeer.withCalleeClockNs(remote)}) {
                const TimePoint decoded = fromWire(wire, clock, now);
                EXPECT_LE(decoded, now + std::chrono::hours(24));
                EXPECT_GE(decoded, now - std::chrono::hours(24));
            }
        }
    }
}

} // namespace fescuepond
