// Inference of parent kinds from failures, and the headroom that calls of a parent kind report.

#include "servers/pathlimit/headroombykind.h"

#include <gtest/gtest.h>

namespace fescuepond
{

namespace
{

using std::chrono::milliseconds;

const TimePoint start{std::chrono::hours(1)};
constexpr double LowHeadroom = 0.5;

/// Lets a call of `child` fail every 100 ms, each followed by a server error of `parent` 1 ms later. Returns the time
/// of the last one.
TimePoint failCalls(HeadroomByKind &headroom, const std::string &parent, const std::string &child, int count)
{
    TimePoint now = start;
    for (int i = 0; i < count; ++i) {
        now += milliseconds(100);
        headroom.childCompleted(child, LowHeadroom, true, now);
        headroom.attributeServerError(parent, now + milliseconds(1));
    }
    return now + milliseconds(1);
}

} // namespace

TEST(HeadroomByKind, KindWithoutKnownChildKindsHasNoHeadroom)
{
    HeadroomByKind headroom;
    headroom.childCompleted("route", LowHeadroom, false, start);
    EXPECT_EQ(headroom.headroomFor("stock", start), 0);
    EXPECT_FALSE(headroom.attributeServerError("stock", start));
}

TEST(HeadroomByKind, ServerErrorsAfterChildFailuresMakeAParentKind)
{
    HeadroomByKind headroom;
    const TimePoint now = failCalls(headroom, "stock", "route", 5);
    EXPECT_DOUBLE_EQ(headroom.headroomFor("stock", now), LowHeadroom);
    EXPECT_EQ(headroom.headroomFor("order", now), 0);
}

TEST(HeadroomByKind, ServerErrorLongAfterAChildFailureIsNotAttributed)
{
    HeadroomByKind headroom;
    TimePoint now = start;
    for (int i = 0; i < 20; ++i) {
        now += milliseconds(100);
        headroom.childCompleted("route", LowHeadroom, true, now);
        EXPECT_FALSE(headroom.attributeServerError("order", now + milliseconds(50)));
    }
    EXPECT_EQ(headroom.headroomFor("order", now), 0);
}

TEST(HeadroomByKind, ServerErrorsAfterFewOfTheChildFailuresMakeNoParentKind)
{
    HeadroomByKind headroom;
    TimePoint now = start;
    for (int i = 0; i < 200; ++i) {
        now += milliseconds(100);
        headroom.childCompleted("route", LowHeadroom, true, now);
        // One failure in ten is followed by an error of another kind that runs here at the same time.
        headroom.attributeServerError(i % 10 == 0 ? "order" : "stock", now + milliseconds(1));
    }
    EXPECT_EQ(headroom.headroomFor("order", now), 0);
    EXPECT_GT(headroom.headroomFor("stock", now), 0);
}

TEST(HeadroomByKind, ChildFailureExplainsOneErrorOfAKnownParentKind)
{
    HeadroomByKind headroom;
    EXPECT_FALSE(headroom.attributeServerError("stock", start));
    const TimePoint now = failCalls(headroom, "stock", "route", 5) + milliseconds(100);
    headroom.childCompleted("route", LowHeadroom, true, now);
    EXPECT_TRUE(headroom.attributeServerError("stock", now + milliseconds(1)));
    EXPECT_FALSE(headroom.attributeServerError("stock", now + milliseconds(2))) << "one failure explains one error";
}

TEST(HeadroomByKind, OldHeadroomIsIgnored)
{
    HeadroomByKind headroom;
    const TimePoint now = failCalls(headroom, "stock", "route", 5);
    EXPECT_EQ(headroom.headroomFor("stock", now + std::chrono::seconds(3)), 0);
}

} // namespace fescuepond
