// Room further down where children don't name their parent: what is learned, and what callers get from it.

#include "servers/pathlimit/headroombykind.h"

#include <gtest/gtest.h>

namespace fescuepond
{

namespace
{

using std::chrono::milliseconds;

const TimePoint start{std::chrono::hours(1)};
constexpr double NarrowHeadroom = 0.5;

/// Failures of `child` at a pace of one each 100 ms, each followed by a server error of `parent` after a millisecond.
TimePoint failCalls(HeadroomByKind &headroom, const std::string &parent, const std::string &child, int count)
{
    TimePoint now = start;
    for (int i = 0; i < count; ++i) {
        now += milliseconds(100);
        headroom.childCompleted(child, NarrowHeadroom, true, now);
        headroom.attributeServerError(parent, now + milliseconds(1));
    }
    return now + milliseconds(1);
}

} // namespace

TEST(HeadroomByKind, TellsNothingOfAKindThatIsNotSeenToCall)
{
    HeadroomByKind headroom;
    headroom.childCompleted("route", NarrowHeadroom, false, start);
    EXPECT_EQ(headroom.headroomFor("stock", start), 0);
    EXPECT_FALSE(headroom.attributeServerError("stock", start));
}

TEST(HeadroomByKind, LearnsACallerFromFailuresThatFollow)
{
    HeadroomByKind headroom;
    const TimePoint now = failCalls(headroom, "stock", "route", 5);
    EXPECT_DOUBLE_EQ(headroom.headroomFor("stock", now), NarrowHeadroom);
    EXPECT_EQ(headroom.headroomFor("order", now), 0);
}

TEST(HeadroomByKind, AFailureFarFromAnyChildsFailureTeachesNothing)
{
    HeadroomByKind headroom;
    TimePoint now = start;
    for (int i = 0; i < 20; ++i) {
        now += milliseconds(100);
        headroom.childCompleted("route", NarrowHeadroom, true, now);
        EXPECT_FALSE(headroom.attributeServerError("order", now + milliseconds(50)));
    }
    EXPECT_EQ(headroom.headroomFor("order", now), 0);
}

TEST(HeadroomByKind, RareErrorsBesideManyFailuresMakeNoCaller)
{
    HeadroomByKind headroom;
    TimePoint now = start;
    for (int i = 0; i < 200; ++i) {
        now += milliseconds(100);
        headroom.childCompleted("route", NarrowHeadroom, true, now);
        // One in ten is followed by an error of another kind that runs here at the same time.
        headroom.attributeServerError(i % 10 == 0 ? "order" : "stock", now + milliseconds(1));
    }
    EXPECT_EQ(headroom.headroomFor("order", now), 0);
    EXPECT_GT(headroom.headroomFor("stock", now), 0);
}

TEST(HeadroomByKind, AFailedChildExplainsTheErrorOfAKnownCaller)
{
    HeadroomByKind headroom;
    EXPECT_FALSE(headroom.attributeServerError("stock", start));
    const TimePoint now = failCalls(headroom, "stock", "route", 5) + milliseconds(100);
    headroom.childCompleted("route", NarrowHeadroom, true, now);
    EXPECT_TRUE(headroom.attributeServerError("stock", now + milliseconds(1)));
    EXPECT_FALSE(headroom.attributeServerError("stock", now + milliseconds(2))) << "one failure explains one error";
}

TEST(HeadroomByKind, ForgetsARoomThatWasToldLongAgo)
{
    HeadroomByKind headroom;
    const TimePoint now = failCalls(headroom, "stock", "route", 5);
    EXPECT_EQ(headroom.headroomFor("stock", now + std::chrono::seconds(3)), 0);
}

} // namespace fescuepond
