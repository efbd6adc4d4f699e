// Room further down where children don't name their parent: what is learned, and what callers get from it.

#include "servers/pathlimit/kindrooms.h"

#include <gtest/gtest.h>

namespace fescuepond
{

namespace
{

using std::chrono::milliseconds;

const TimePoint start{std::chrono::hours(1)};
constexpr double NarrowRoom = 0.5;

/// Failures of `child` at a pace of one each 100 ms, each followed by a server error of `parent` after a millisecond.
TimePoint showCalls(KindRooms &rooms, const std::string &parent, const std::string &child, int count)
{
    TimePoint now = start;
    for (int i = 0; i < count; ++i) {
        now += milliseconds(100);
        rooms.childEnded(child, NarrowRoom, true, now);
        rooms.parentFailed(parent, now + milliseconds(1));
    }
    return now + milliseconds(1);
}

} // namespace

TEST(KindRooms, TellsNothingOfAKindThatIsNotSeenToCall)
{
    KindRooms rooms;
    rooms.childEnded("route", NarrowRoom, false, start);
    EXPECT_EQ(rooms.roomFor("stock", start), 0);
    EXPECT_FALSE(rooms.parentFailed("stock", start));
}

TEST(KindRooms, LearnsACallerFromFailuresThatFollow)
{
    KindRooms rooms;
    const TimePoint now = showCalls(rooms, "stock", "route", 5);
    EXPECT_DOUBLE_EQ(rooms.roomFor("stock", now), NarrowRoom);
    EXPECT_EQ(rooms.roomFor("order", now), 0);
}

TEST(KindRooms, AFailureFarFromAnyChildsFailureTeachesNothing)
{
    KindRooms rooms;
    TimePoint now = start;
    for (int i = 0; i < 20; ++i) {
        now += milliseconds(100);
        rooms.childEnded("route", NarrowRoom, true, now);
        EXPECT_FALSE(rooms.parentFailed("order", now + milliseconds(50)));
    }
    EXPECT_EQ(rooms.roomFor("order", now), 0);
}

TEST(KindRooms, RareErrorsBesideManyFailuresMakeNoCaller)
{
    KindRooms rooms;
    TimePoint now = start;
    for (int i = 0; i < 200; ++i) {
        now += milliseconds(100);
        rooms.childEnded("route", NarrowRoom, true, now);
        // One in ten is followed by an error of another kind that runs here at the same time.
        rooms.parentFailed(i % 10 == 0 ? "order" : "stock", now + milliseconds(1));
    }
    EXPECT_EQ(rooms.roomFor("order", now), 0);
    EXPECT_GT(rooms.roomFor("stock", now), 0);
}

TEST(KindRooms, AFailedChildExplainsTheErrorOfAKnownCaller)
{
    KindRooms rooms;
    EXPECT_FALSE(rooms.parentFailed("stock", start));
    const TimePoint now = showCalls(rooms, "stock", "route", 5) + milliseconds(100);
    rooms.childEnded("route", NarrowRoom, true, now);
    EXPECT_TRUE(rooms.parentFailed("stock", now + milliseconds(1)));
    EXPECT_FALSE(rooms.parentFailed("stock", now + milliseconds(2))) << "one failure explains one error";
}

TEST(KindRooms, ForgetsARoomThatWasToldLongAgo)
{
    KindRooms rooms;
    const TimePoint now = showCalls(rooms, "stock", "route", 5);
    EXPECT_EQ(rooms.roomFor("stock", now + std::chrono::seconds(3)), 0);
}

} // namespace fescuepond
