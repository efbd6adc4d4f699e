// The table of calls running at the backend server: matching of a received call's deadline with the running calls, to
// infer its parent.

#include "core/pipeline/callsinflight.h"

#include <gtest/gtest.h>

#include <cmath>

namespace fescuepond
{

namespace
{

using std::chrono::microseconds;
using std::chrono::milliseconds;

const TimePoint deadline{std::chrono::hours(1)};

CallContext callWith(TimePoint end)
{
    return CallContext().withCallId(CallId::random()).withDeadline(end);
}

} // namespace

TEST(CallsInFlight, FindsTheCallWithTheNearestDeadline)
{
    CallsInFlight calls;
    const CallContext parent = callWith(deadline);
    calls.add(parent);
    calls.add(callWith(deadline + milliseconds(4)));
    const DeadlineMatch match = calls.findByDeadline(deadline - microseconds(1900));
    EXPECT_EQ(match.nearest, std::optional(parent));
    EXPECT_TRUE(match.canBeChild);
}

TEST(CallsInFlight, EarlierDeadlineCanBeAChildOfAnUnknownParent)
{
    CallsInFlight calls;
    calls.add(callWith(deadline));
    const DeadlineMatch match = calls.findByDeadline(deadline - milliseconds(300));
    EXPECT_FALSE(match.nearest);
    EXPECT_TRUE(match.canBeChild);
}

TEST(CallsInFlight, EstimatesTheProbabilityOfACoincidentalMatch)
{
    CallsInFlight calls;
    // One deadline per 5 ms, the width of the window in which two deadlines count as equal.
    for (int i = 0; i < 200; ++i) {
        calls.add(callWith(deadline + milliseconds(5 * i)));
    }
    EXPECT_NEAR(calls.findByDeadline(deadline + milliseconds(502)).coincidenceProbability, 1 - std::exp(-1), 0.06);
    EXPECT_EQ(calls.findByDeadline(deadline + std::chrono::seconds(5)).coincidenceProbability, 0);
}

TEST(CallsInFlight, LaterDeadlineIsNotAChild)
{
    CallsInFlight calls;
    EXPECT_FALSE(calls.findByDeadline(deadline).canBeChild);
    calls.add(callWith(deadline));
    const DeadlineMatch match = calls.findByDeadline(deadline + milliseconds(10));
    EXPECT_FALSE(match.nearest);
    EXPECT_FALSE(match.canBeChild);
}

} // namespace fescuepond
