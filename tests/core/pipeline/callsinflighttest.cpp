// The table of calls that run at the backend server.

#include "core/pipeline/callsinflight.h"

#include <gtest/gtest.h>

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
    EXPECT_TRUE(match.mayBeChild);
}

TEST(CallsInFlight, AnEarlierDeadlineMayBeAChildsWithoutTellingWhose)
{
    CallsInFlight calls;
    calls.add(callWith(deadline));
    const DeadlineMatch match = calls.findByDeadline(deadline - milliseconds(300));
    EXPECT_FALSE(match.nearest);
    EXPECT_TRUE(match.mayBeChild);
}

// Three calls make three calls each, in turn; each child is given to the call that makes it.
TEST(CallsInFlight, CallsMadeInTurnAreGivenToTheCallThatMakesThem)
{
    CallsInFlight calls;
    std::vector<CallContext> parents;
    for (int i = 0; i < 3; ++i) {
        parents.push_back(callWith(deadline + milliseconds(100 * i)).withKind("list"));
        calls.add(parents.back());
        calls.add(callWith(deadline).withKind("book"));
    }
    const std::set<std::string> kinds = {"list"};
    for (int round = 0; round < 3; ++round) {
        for (const CallContext &parent : parents) {
            const auto found = calls.likelyParent(kinds, deadline - milliseconds(300));
            ASSERT_TRUE(found);
            EXPECT_EQ(found->callId(), parent.callId()) << round;
            calls.childBegins(found->callId());
        }
        for (const CallContext &parent : parents) {
            calls.childEnded(parent.callId(), CallOutcome().withState(CallState::Answered).withStatus(200));
        }
    }
    // All wait for a child: the first that began to.
    for (const CallContext &parent : parents) {
        calls.childBegins(parent.callId());
    }
    EXPECT_EQ(calls.likelyParent(kinds, deadline)->callId(), parents[0].callId());
    EXPECT_FALSE(calls.likelyParent({"other"}, deadline));
    EXPECT_FALSE(calls.likelyParent(kinds, deadline + std::chrono::seconds(1)));
}

TEST(CallsInFlight, ALaterDeadlineIsNoChilds)
{
    CallsInFlight calls;
    EXPECT_FALSE(calls.findByDeadline(deadline).mayBeChild);
    calls.add(callWith(deadline));
    const DeadlineMatch match = calls.findByDeadline(deadline + milliseconds(10));
    EXPECT_FALSE(match.nearest);
    EXPECT_FALSE(match.mayBeChild);
}

} // namespace fescuepond
