// Admission control at a target: one decision for each submission, deadlines, and the concurrency limit.

#include "servers/admission/admissioncontroller.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>
#include <set>

namespace fescuepond
{

namespace
{

using std::chrono::milliseconds;
const TimePoint start{std::chrono::hours(1)};

AdmissionEntry entryOf(EntryId id, Rank rank, Duration untilDeadline)
{
    return AdmissionEntry()
        .withOrder(ShedOrder().withRank(rank).withRootHash(id).withEntryId(id))
        .withKind("kind")
        .withRootKind("service/kind")
        .withDeadline(start + untilDeadline);
}

AdmissionController controllerWith(double slots)
{
    return {std::make_unique<FixedLimit>(slots), AdmissionRules()};
}

} // namespace

TEST(AdmissionController, EstimatesTheDrainTimeOfTheQueue)
{
    AdmissionController controller = controllerWith(2);
    EXPECT_EQ(controller.drainTime(), Duration::zero());
    controller.submit(entryOf(1, 0, milliseconds(1000)), start);
    controller.finished(1, RunSample().withServiceTime(milliseconds(40)), start);
    for (EntryId id = 2; id <= 7; ++id) {
        controller.submit(entryOf(id, 0, milliseconds(1000)), start);
    }
    EXPECT_EQ(controller.drainTime(), milliseconds(80)) << "four calls are queued, and two run in 40 ms";
}

TEST(AdmissionController, CallsStartAtTheNamedRateTheMostImportantFirstThoughSlotsAreFree)
{
    AdmissionController controller = controllerWith(50);
    controller.setRate(10);
    EntryId id = 1;
    int admitted = 0;
    for (; id <= 3; ++id) {
        admitted += static_cast<int>(controller.submit(entryOf(id, 5, milliseconds(5000)), start).size());
    }
    EXPECT_EQ(admitted, 3) << "as many as the burst allows";
    EXPECT_TRUE(controller.submit(entryOf(id++, 5, milliseconds(5000)), start).empty());
    EXPECT_TRUE(controller.submit(entryOf(id++, 1, milliseconds(5000)), start).empty());
    ASSERT_EQ(controller.nextExpiry(), start + milliseconds(100));
    EXPECT_EQ(controller.expire(start + milliseconds(99)), AdmissionDecisions{});
    EXPECT_EQ(controller.expire(start + milliseconds(100)), AdmissionDecisions{AdmissionDecision().withId(5)});
    controller.setRate(0);
    EXPECT_EQ(controller.expire(start + milliseconds(101)), AdmissionDecisions{AdmissionDecision().withId(4)});
}

TEST(AdmissionController, CallsThatWouldWaitLongForTheNamedRateAreRejectedAtOnce)
{
    AdmissionController controller = controllerWith(50);
    controller.setRate(2);
    AdmissionDecisions rejected;
    for (EntryId id = 1; id <= 40; ++id) {
        for (const AdmissionDecision &decision : controller.submit(entryOf(id, 0, milliseconds(9000)), start)) {
            if (!decision.isAdmitted()) {
                rejected.push_back(decision);
            }
        }
    }
    EXPECT_GE(rejected.size(), 36);
    EXPECT_LE(controller.queued(), 3);
    EXPECT_GE(controller.drainTime(), milliseconds(500));
}

TEST(AdmissionController, ReportsTheConcurrencyThatTheNamedRateAllows)
{
    AdmissionController controller = controllerWith(50);
    controller.submit(entryOf(1, 0, milliseconds(1000)), start);
    controller.finished(1, RunSample().withServiceTime(milliseconds(200)), start);
    EXPECT_EQ(controller.limit(), 50);
    controller.setRate(20);
    EXPECT_EQ(controller.limit(), 4);
    controller.setRate(1);
    EXPECT_EQ(controller.limit(), 1);
}

TEST(AdmissionController, AdmitsUpToTheLimitAndTheMostImportantCallWhenOneFinishes)
{
    AdmissionController controller = controllerWith(1);
    EXPECT_TRUE(controller.submit(entryOf(1, 0, milliseconds(100)), start).at(0).isAdmitted());
    EXPECT_TRUE(controller.submit(entryOf(2, 5, milliseconds(100)), start).empty());
    EXPECT_TRUE(controller.submit(entryOf(3, 1, milliseconds(100)), start).empty());
    const auto decisions = controller.finished(1, RunSample().withServiceTime(milliseconds(5)), start);
    EXPECT_EQ(decisions, AdmissionDecisions{AdmissionDecision().withId(3)});
}

TEST(AdmissionController, QueuedCallIsRejectedAtItsDeadline)
{
    AdmissionController controller = controllerWith(1);
    controller.submit(entryOf(1, 0, milliseconds(100)), start);
    controller.submit(entryOf(2, 0, milliseconds(50)), start);
    EXPECT_EQ(controller.nextExpiry(), start + milliseconds(50));
    const auto decisions = controller.expire(start + milliseconds(50));
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions[0], AdmissionDecision().withId(2).withRejection(Reason::DeadlineExceeded));
}

TEST(AdmissionController, CallThatCannotMeetItsDeadlineIsRejectedAtOnce)
{
    AdmissionController controller = controllerWith(1);
    for (EntryId id = 1; id <= 100; ++id) {
        controller.submit(entryOf(id, 0, milliseconds(1000)), start);
        controller.finished(id, RunSample().withServiceTime(milliseconds(80)), start);
    }
    const auto decisions = controller.submit(entryOf(200, 0, milliseconds(40)), start);
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions[0].rejection(), Reason::DeadlineExceeded);
    EXPECT_TRUE(controller.submit(entryOf(201, 0, milliseconds(150)), start).at(0).isAdmitted());
}

TEST(AdmissionController, EverySubmissionIsDecidedExactlyOnceAndTheLimitHolds)
{
    ASSERT_TRUE(rc::check("one decision for each entry; at most `limit` calls run", [] {
        constexpr double Slots = 3;
        AdmissionController controller = controllerWith(Slots);
        std::set<EntryId> running;
        std::map<EntryId, int> decided;
        TimePoint now = start;
        const auto apply = [&](const AdmissionDecisions &decisions) {
            for (const AdmissionDecision &decision : decisions) {
                ++decided[decision.id()];
                if (decision.isAdmitted()) {
                    running.insert(decision.id());
                }
            }
            RC_ASSERT(static_cast<double>(running.size()) <= Slots);
        };
        EntryId submitted = 0;
        for (const int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 12))) {
            now += milliseconds(1);
            if (step < 6 || running.empty()) {
                const auto untilDeadline = now - start + milliseconds(step * 3);
                apply(controller.submit(entryOf(++submitted, step % 3, untilDeadline), now));
            } else {
                const EntryId completed = *running.begin();
                running.erase(running.begin());
                apply(controller.finished(completed, RunSample().withServiceTime(milliseconds(2)), now));
            }
        }
        apply(controller.expire(now + std::chrono::hours(1)));
        while (!running.empty()) {
            const EntryId completed = *running.begin();
            running.erase(running.begin());
            apply(controller.finished(completed, RunSample(), now + std::chrono::hours(1)));
        }
        RC_ASSERT(decided.size() == submitted);
        for (const auto &[id, count] : decided) {
            RC_ASSERT(count == 1);
        }
    }));
}

TEST(AdaptiveLimit, StartsLowAndGrowsToTheSlots)
{
    AdaptiveLimit limit(40);
    EXPECT_DOUBLE_EQ(limit.limit(), 20);
    for (int answer = 0; answer < 80; ++answer) {
        limit.finished(RunSample().withServiceTime(std::chrono::seconds(1)), start);
    }
    EXPECT_DOUBLE_EQ(limit.limit(), 40);
}

TEST(AdaptiveLimit, ShrinksWhileTheBackendServerFailsAndRecovers)
{
    AdaptiveLimit limit(40);
    for (int answer = 0; answer < 200; ++answer) {
        limit.finished(RunSample().withIsFailed(true), start + milliseconds(answer * 100));
    }
    EXPECT_DOUBLE_EQ(limit.limit(), 1);
    for (int answer = 0; answer < 200; ++answer) {
        limit.finished(RunSample(), start + std::chrono::minutes(1));
    }
    EXPECT_DOUBLE_EQ(limit.limit(), 40);
}

} // namespace fescuepond
