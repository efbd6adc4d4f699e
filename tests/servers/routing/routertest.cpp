// Choice of targets, transparent retries, and the load and health of targets.

#include "servers/routing/router.h"

#include "tests/support/allocationcount.h"

#include <gtest/gtest.h>

#include <map>
#include <random>

namespace fescuepond
{

namespace
{

const TimePoint now = TimePoint(std::chrono::hours(1));
const RouteOrigin origin = RouteOrigin().withZone("a").withRegion("r");

RouteCandidate candidate(const std::string &name, const std::string &zone, double limit, int inFlight)
{
    const Member target = Member().withName(name).withZone(zone).withRegion("r");
    return RouteCandidate().withTarget(target).withLoad(
        TargetLoad().withLimit(limit).withReportedAt(now).withInFlight(inFlight));
}

std::map<std::string, int> chosen(const RouteCandidates &candidates, int times = 2000)
{
    std::mt19937_64 random(1);
    std::map<std::string, int> counts;
    for (int i = 0; i < times; ++i) {
        const RouteCandidate *candidate = chooseTarget(candidates, origin, now, random());
        ++counts[candidate != nullptr ? candidate->target().name() : ""];
    }
    return counts;
}

RouteCandidate ejected(const RouteCandidate &candidate, int seconds)
{
    return candidate.withLoad(candidate.load().withEjectedUntil(now + std::chrono::seconds(seconds)));
}

CallOutcome outcome(CallState state, Reason reason)
{
    return CallOutcome().withState(state).withReason(reason);
}

} // namespace

TEST(Router, PrefersTheOwnZoneUntilItFills)
{
    const auto free = chosen({candidate("near", "a", 10, 5), candidate("far", "b", 10, 0)});
    EXPECT_EQ(free.at("near"), 2000);
    const auto full = chosen({candidate("near", "a", 10, 9), candidate("far", "b", 10, 0)});
    EXPECT_EQ(full.at("far"), 2000);
}

TEST(Router, WeighsByLimit)
{
    const auto counts = chosen({candidate("big", "a", 100, 30), candidate("small", "a", 10, 4)});
    EXPECT_EQ(counts.at("big"), 2000);
}

TEST(Router, OldReportOfALowLimitDoesNotKeepATargetIdle)
{
    const auto low = candidate("low", "a", 1, 0);
    const auto other = candidate("other", "a", 60, 1);
    EXPECT_EQ(chosen({low, other}).count("low"), 0);
    const auto longAgo = low.withLoad(low.load().withReportedAt(now - std::chrono::seconds(6)));
    EXPECT_EQ(chosen({longAgo, other}).at("low"), 2000);
}

TEST(Router, EjectedAndSuspectTargetsAreUsedOnlyIfThereAreNoOthers)
{
    const auto a = candidate("a", "a", 10, 0);
    const auto b = candidate("b", "a", 10, 0);
    EXPECT_EQ(chosen({ejected(a, 5), b}).at("b"), 2000);
    EXPECT_EQ(chosen({ejected(a, 5)}).at("a"), 2000);
    // At most half are left out: of two, the one whose ejection ends first is used.
    EXPECT_EQ(chosen({ejected(a, 5), ejected(b, 2)}).at("b"), 2000);
    const auto suspect = b.withTarget(b.target().withState(MemberState::Suspect));
    EXPECT_EQ(chosen({a, suspect}).at("a"), 2000);
    EXPECT_EQ(chosen({suspect}).at("b"), 2000);
    EXPECT_FALSE(chooseTarget({}, origin, now, 1));
}

TEST(Router, ChoiceAllocatesNoMoreForManyTargetsThanForFew)
{
    const auto allocationsOfAChoice = [](int targets) {
        RouteCandidates candidates;
        for (int i = 0; i < targets; ++i) {
            candidates.push_back(
                candidate("a name too long to be stored in place " + std::to_string(i), "a", 10, i % 8));
        }
        const std::size_t before = test::allocationsOfThisThread();
        chooseTarget(candidates, origin, now, 7);
        return test::allocationsOfThisThread() - before;
    };
    EXPECT_EQ(allocationsOfAChoice(40), allocationsOfAChoice(4));
}

TEST(RouterDeathTest, ALeavingTargetIsNeverChosen)
{
    const auto a = candidate("a", "a", 10, 0);
    const auto leaving = a.withTarget(a.target().withState(MemberState::Leaving));
    EXPECT_DEATH(chooseTarget({leaving}, origin, now, 1), "leaves or is dead");
}

TEST(Router, RetriesTransparentlyOnlyCallsThatWereNotRunAndNeverAfterOverload)
{
    const TimePoint deadline = now + std::chrono::seconds(1);
    const CallOutcome leaving = outcome(CallState::NotRun, Reason::Leaving);
    EXPECT_TRUE(canRetryTransparently(leaving, 0, deadline, now));
    EXPECT_TRUE(canRetryTransparently(leaving, MaxTransparentRetries - 1, deadline, now));
    EXPECT_FALSE(canRetryTransparently(leaving, MaxTransparentRetries, deadline, now));
    EXPECT_FALSE(canRetryTransparently(leaving, 0, now, now));
    EXPECT_FALSE(canRetryTransparently(outcome(CallState::NotRun, Reason::Overload), 0, deadline, now));
    EXPECT_FALSE(canRetryTransparently(outcome(CallState::OutcomeUnknown, Reason::ConnectionLost), 0, deadline, now));
}

TEST(Router, RetryGoesToAnotherTargetIfThereIsOne)
{
    const Incarnation incarnation = Incarnation::random();
    const auto failed = candidate("failed", "a", 10, 0);
    const auto first = failed.withTarget(failed.target().withIncarnation(incarnation));
    const auto second = candidate("second", "b", 10, 9);
    EXPECT_EQ(chosen(withoutFailedTarget({first, second}, incarnation)).at("second"), 2000);
    EXPECT_EQ(chosen(withoutFailedTarget({first}, incarnation)).at("failed"), 2000);
}

// One of three equal targets at half load rejects 45% of its calls at once. It has fewer calls in flight than the
// others, so its utilisation alone would attract more calls.
TEST(Router, LoadShiftsAwayFromATargetThatRejectsAFractionOfItsCalls)
{
    constexpr int Calls = 4000;
    constexpr double RejectedRatio = 0.45;
    constexpr auto CallTime = std::chrono::milliseconds(40);
    constexpr auto Pause = std::chrono::microseconds(1300); // 31 of 60 slots are in use on average.
    std::mt19937_64 random(7);
    std::uniform_real_distribution<double> fraction;
    std::map<std::string, TargetLoad> loads = {{"grey", {}}, {"one", {}}, {"two", {}}};
    std::multimap<TimePoint, std::string> running;
    int rejected = 0;
    TimePoint time = now;
    for (int call = 0; call < Calls; ++call) {
        time += Pause;
        while (!running.empty() && running.begin()->first <= time) {
            TargetLoad &load = loads[running.begin()->second];
            load = afterOutcome(load, outcome(CallState::Answered, Reason::None).withTargetLimit(20), time);
            running.erase(running.begin());
        }
        RouteCandidates candidates;
        for (const auto &[name, load] : loads) {
            candidates.push_back(candidate(name, "a", 0, 0).withLoad(load));
        }
        const std::string target = chooseTarget(candidates, origin, time, random())->target().name();
        TargetLoad &load = loads[target];
        load = afterSend(load, time);
        if (target == "grey" && fraction(random) < RejectedRatio) {
            ++rejected;
            load = afterOutcome(load, outcome(CallState::NotRun, Reason::BackendBusy).withTargetLimit(20), time);
        } else {
            running.emplace(time + CallTime, target);
        }
    }
    // If calls were spread evenly, 15% would be rejected. The other two targets have slots for all calls.
    EXPECT_LT(rejected, Calls * 3 / 100);
}

TEST(TargetLoad, FailureRatioExpiresWithoutCalls)
{
    TargetLoad load;
    const double healthy = utilisation(load, now);
    for (int i = 0; i < 20; ++i) {
        load = afterOutcome(afterSend(load, now), outcome(CallState::Answered, Reason::None).withStatus(500), now);
    }
    EXPECT_GT(penalisedUtilisation(load, 0, now), 4 * healthy);
    EXPECT_EQ(penalisedUtilisation(load, 0, now + std::chrono::seconds(3)), healthy);
    // If all targets fail equally often, none is penalised.
    EXPECT_EQ(penalisedUtilisation(load, failureRatioAt(load, now), now), healthy);
}

TEST(TargetLoad, ErrorFromFurtherDownstreamDoesNotCountAgainstTheTarget)
{
    TargetLoad load;
    const double healthy = utilisation(load, now);
    for (int i = 0; i < 20; ++i) {
        load = afterOutcome(
            afterSend(load, now), outcome(CallState::Answered, Reason::ChildCallFailed).withStatus(500), now);
    }
    EXPECT_EQ(penalisedUtilisation(load, 0, now), healthy);
}

TEST(TargetLoad, EjectionTimeGrowsToABoundAndEndsWithAnAnswer)
{
    TimePoint time = now;
    TargetLoad load;
    Duration longest{};
    for (int i = 0; i < 12; ++i) {
        load = afterOutcome(afterSend(load, time), outcome(CallState::NotRun, Reason::ConnectionLost), time);
        const Duration ejection = load.ejectedUntil() - time;
        EXPECT_GE(ejection, longest);
        longest = ejection;
        time = load.ejectedUntil();
    }
    EXPECT_EQ(longest, std::chrono::seconds(30));
    load = afterOutcome(afterSend(load, time), outcome(CallState::Answered, Reason::None), time);
    EXPECT_FALSE(isEjected(load, time));
    EXPECT_EQ(load.ejections(), 0);
}

TEST(TargetLoad, OverloadDoesNotEjectATargetAndTimeoutsInARowDo)
{
    TargetLoad load;
    for (int i = 0; i < 100; ++i) {
        load = afterOutcome(afterSend(load, now), outcome(CallState::NotRun, Reason::Overload), now);
    }
    EXPECT_FALSE(isEjected(load, now));
    int calls = 0;
    while (!isEjected(load, now) && calls < 10) {
        load = afterOutcome(afterSend(load, now), outcome(CallState::OutcomeUnknown, Reason::DeadlineExceeded), now);
        ++calls;
    }
    EXPECT_EQ(calls, 3);
}

} // namespace fescuepond
