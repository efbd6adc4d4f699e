// Tests of the state that a node tracks for its backend server, also with delayed and reordered reports.

#include "servers/registration/backendtracker.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>

namespace fescuepond
{

namespace
{

using std::chrono::milliseconds;

constexpr TimePoint Start{std::chrono::hours(1)};
constexpr std::uint64_t WallClockMs = 1000; ///< At Start.

const BackendTimeouts usualTimeouts = BackendTimeouts::from(std::chrono::seconds(2), milliseconds(1500));
const BackendTracker fresh = BackendTracker().withTimeouts(usualTimeouts);

BackendReport report(const std::string &instance, std::uint64_t startedAtMs, std::uint64_t sequence, BackendState state)
{
    return BackendReport()
        .withInstance(instance)
        .withStartedAtMs(startedAtMs)
        .withSequence(sequence)
        .withService("yard")
        .withSlots(24)
        .withState(state);
}

TrackerUpdate after(const BackendTracker &known, const BackendReport &next, TimePoint now = Start)
{
    return afterReport(known, next, "yard", now);
}

} // namespace

TEST(BackendTracker, NamedRateEndsWithTheFirstAnswerWithoutItToACallThatWasSentLater)
{
    const BackendNotice named = BackendNotice().withRate(12.5);
    BackendTracker tracker = after(fresh, report("i-1", 1, 1, BackendState::Ready)).tracker;
    tracker = afterAnswer(tracker, "i-1", named, Start, Start + milliseconds(100));
    EXPECT_EQ(tracker.notice().rate(), 12.5);
    tracker = afterAnswer(tracker, "i-1", BackendNotice(), Start + milliseconds(50), Start + milliseconds(110));
    EXPECT_EQ(tracker.notice().rate(), 12.5) << "the answer was overtaken";
    tracker = afterAnswer(tracker, "i-2", BackendNotice(), Start + milliseconds(150), Start + milliseconds(200));
    EXPECT_EQ(tracker.notice().rate(), 12.5) << "the answer is another instance's";
    tracker = afterAnswer(tracker, "i-1", BackendNotice(), Start + milliseconds(150), Start + milliseconds(200));
    EXPECT_EQ(tracker.notice().rate(), 0);
}

TEST(BackendTracker, NodeThatRestartedKeepsToTheRateThatItsCallersKnow)
{
    const BackendNotice named = BackendNotice().withRate(8);
    BackendTracker tracker = after(fresh, report("i-1", 1, 7, BackendState::Ready)).tracker;
    tracker = afterReceivedNotice(tracker, named, Start);
    EXPECT_EQ(tracker.notice().rate(), 8);
    tracker = afterAnswer(tracker, "i-1", BackendNotice(), Start + milliseconds(1), Start + milliseconds(100));
    EXPECT_EQ(tracker.notice().rate(), 0);
    tracker = afterReceivedNotice(tracker, named, Start + milliseconds(200));
    EXPECT_EQ(tracker.notice().rate(), 0) << "the backend server itself has answered without a limit since";
}

TEST(BackendTracker, InstanceThatSaysInAnAnswerThatItLeavesIsDraining)
{
    BackendTracker tracker = after(fresh, report("i-1", 1, 1, BackendState::Ready)).tracker;
    tracker = afterAnswer(tracker, "i-1", BackendNotice().withLeavingInstance("i-1"), Start, Start);
    EXPECT_FALSE(tracker.isServing(Start));
    EXPECT_TRUE(tracker.canStart(Start + milliseconds(100)));
    EXPECT_FALSE(tracker.canStart(Start + std::chrono::seconds(2)));
    EXPECT_EQ(tracker.notice().leavingInstance(), "i-1");
    const BackendTracker replaced = after(tracker, report("i-2", 9, 1, BackendState::Ready)).tracker;
    EXPECT_TRUE(replaced.isServing(Start));
}

TEST(BackendTracker, NodeThatRestartedSendsNothingToAnInstanceThatItsCallersKnowToLeave)
{
    BackendTracker tracker = after(fresh, report("i-1", 1, 1, BackendState::Ready)).tracker;
    const BackendNotice notice = BackendNotice().withLeavingInstance("i-1").withLeavingStartedAtMs(1);
    tracker = afterReceivedNotice(tracker, notice.withLeavingInstance("i-0"), Start);
    EXPECT_TRUE(tracker.canStart(Start)) << "another instance";
    tracker = afterReceivedNotice(tracker, notice.withLeavingStartedAtMs(0), Start);
    tracker = afterReceivedNotice(tracker, notice.withLeavingStartedAtMs(7), Start);
    EXPECT_TRUE(tracker.canStart(Start)) << "another start of an instance of this name";
    tracker = afterReceivedNotice(tracker, notice, Start);
    EXPECT_FALSE(tracker.canStart(Start));
}

TEST(BackendTracker, NoticeThatArrivesBeforeTheReportOfAnInstanceThatLeavesIsNotLost)
{
    const BackendNotice notice = BackendNotice().withLeavingInstance("i-1").withLeavingStartedAtMs(5);
    const BackendTracker tracker = afterReceivedNotice(fresh, notice, Start);
    EXPECT_FALSE(after(tracker, report("i-1", 5, 4, BackendState::Ready)).tracker.canStart(Start));
    EXPECT_TRUE(after(tracker, report("i-1", 6, 1, BackendState::Ready)).tracker.isServing(Start)) << "a new start";
    EXPECT_TRUE(after(tracker, report("i-2", 5, 1, BackendState::Ready)).tracker.isServing(Start));
}

TEST(BackendTracker, InstanceThatSaidInAnAnswerThatItLeavesIsNotTakenBackOnceItsSuccessorIsSilent)
{
    BackendTracker tracker = after(fresh, report("i-1", 5, 4, BackendState::Ready)).tracker;
    tracker = afterAnswer(tracker, "i-1", BackendNotice().withLeavingInstance("i-1"), Start, Start);
    EXPECT_EQ(departuresIn(tracker.departures()), Departures{Departure().withInstance("i-1").withStartedAtMs(5)});
    tracker = after(tracker, report("i-2", 9, 1, BackendState::Ready)).tracker;
    const TimePoint late = Start + usualTimeouts.silenceTimeout();
    EXPECT_EQ(after(tracker, report("i-1", 5, 5, BackendState::Ready), late).verdict, ReportVerdict::Stale);
}

TEST(BackendTracker, NoCallIsAcceptedBeforeTheFirstReport)
{
    const BackendTracker &none = fresh;
    EXPECT_FALSE(none.acceptsCalls(Start));
    EXPECT_FALSE(none.canStart(Start));
    const BackendTracker ready = after(none, report("i-1", 5, 1, BackendState::Ready)).tracker;
    EXPECT_TRUE(ready.isServing(Start));
    EXPECT_TRUE(ready.canStart(Start));
}

TEST(BackendTracker, StaleReportsAreIgnored)
{
    const BackendTracker ready = after(fresh, report("i-1", 5, 4, BackendState::Ready)).tracker;
    EXPECT_EQ(after(ready, report("i-1", 5, 3, BackendState::Draining)).verdict, ReportVerdict::Stale);
    EXPECT_EQ(after(ready, report("i-0", 4, 9, BackendState::Ready)).verdict, ReportVerdict::Stale);
    EXPECT_EQ(afterReport(ready, report("i-1", 5, 5, BackendState::Ready), "quarry", Start).verdict,
              ReportVerdict::Foreign);
}

TEST(BackendTracker, DrainingInstanceStaysDrainingButTheNextOneIsReady)
{
    const BackendTracker ready = after(fresh, report("i-1", 5, 4, BackendState::Ready)).tracker;
    const BackendTracker draining = after(ready, report("i-1", 5, 5, BackendState::Draining)).tracker;
    EXPECT_EQ(draining.state(Start), BackendState::Draining);
    const BackendTracker again =
        after(draining, report("i-1", 5, 6, BackendState::Ready), Start + milliseconds(100)).tracker;
    EXPECT_EQ(again.state(Start + milliseconds(100)), BackendState::Draining);
    EXPECT_TRUE(after(again, report("i-1", 9, 1, BackendState::Ready)).tracker.isServing(Start));
}

TEST(BackendTracker, NoCallStartsTwoSecondsAfterTheStartOfDraining)
{
    constexpr Duration Bound = std::chrono::seconds(2);
    const BackendTracker ready = after(fresh, report("i-1", 5, 4, BackendState::Ready)).tracker;
    for (const BackendTracker &draining : {after(ready, report("i-1", 5, 5, BackendState::Draining)).tracker,
                                           afterDeregistration(ready, "i-1", Start, WallClockMs).tracker}) {
        EXPECT_TRUE(draining.canStart(Start));
        EXPECT_FALSE(draining.acceptsCalls(Start + usualTimeouts.drainGrace()));
        EXPECT_FALSE(draining.canStart(Start + usualTimeouts.drainLimit()));
        EXPECT_LT(usualTimeouts.drainLimit(), Bound);
    }
    EXPECT_EQ(afterDeregistration(ready, "i-0", Start, WallClockMs).verdict, ReportVerdict::Foreign);
}

TEST(BackendTracker, LateReportDoesNotUndoADepartureThatARestartedNodeAcknowledged)
{
    // A process that has just started knows nothing of the instance that deregisters.
    const BackendTracker left = afterDeregistration(fresh, "i-1", Start, WallClockMs).tracker;
    const TimePoint later = Start + std::chrono::seconds(3);
    for (const std::uint64_t startedAtMs : {std::uint64_t{0}, WallClockMs - 500, WallClockMs}) {
        for (const BackendState state : {BackendState::Ready, BackendState::Draining}) {
            const TrackerUpdate update = after(left, report("i-1", startedAtMs, 9, state), later);
            EXPECT_EQ(update.verdict, ReportVerdict::Stale) << startedAtMs;
            EXPECT_FALSE(update.tracker.canStart(later)) << startedAtMs;
            EXPECT_FALSE(update.tracker.isServing(later)) << startedAtMs;
        }
    }
    EXPECT_TRUE(after(left, report("i-1", WallClockMs + 1, 1, BackendState::Ready), later).tracker.isServing(later))
        << "the instance has started again";
    EXPECT_TRUE(after(left, report("i-2", 1, 1, BackendState::Ready), later).tracker.isServing(later))
        << "another instance";
    // The wall clock was set back, so the instance that started again seems older than the departure.
    const TimePoint muchLater = Start + DepartureMemory;
    EXPECT_TRUE(after(left, report("i-1", 1, 1, BackendState::Ready), muchLater).tracker.isServing(muchLater));
}

TEST(BackendTracker, LateReportOfADepartedInstanceIsIgnoredOnceItsSuccessorIsSilent)
{
    BackendTracker tracker = after(fresh, report("i-1", 5, 4, BackendState::Ready)).tracker;
    tracker = afterDeregistration(tracker, "i-1", Start, WallClockMs).tracker;
    tracker = after(tracker, report("i-2", 9, 1, BackendState::Ready)).tracker;
    EXPECT_TRUE(tracker.isServing(Start));
    const TimePoint late = Start + usualTimeouts.silenceTimeout();
    EXPECT_EQ(after(tracker, report("i-1", 5, 5, BackendState::Ready), late).verdict, ReportVerdict::Stale);
    EXPECT_TRUE(after(tracker, report("i-1", 10, 1, BackendState::Ready), late).tracker.isServing(late));
}

TEST(BackendTracker, DepartureOfAnotherInstanceDoesNotEndTheKnownOne)
{
    BackendTracker tracker = after(fresh, report("i-2", 9, 1, BackendState::Ready)).tracker;
    for (std::size_t i = 0; i < MaxDepartures * 2; ++i) {
        tracker = afterDeregistration(tracker, "old-" + std::to_string(i), Start, WallClockMs).tracker;
    }
    EXPECT_TRUE(tracker.isServing(Start));
    EXPECT_EQ(tracker.departures().size(), MaxDepartures);
    EXPECT_EQ(tracker.departures().back().departure().instance(), "old-" + std::to_string(MaxDepartures * 2 - 1));
}

TEST(BackendTracker, NodeThatFirstHearsOfAnInstanceWhileItDrainsPassesNothingToIt)
{
    // The instance may have said so to an earlier process of the node, which acknowledged it.
    const BackendTracker draining = after(fresh, report("i-1", 5, 4, BackendState::Draining)).tracker;
    EXPECT_EQ(draining.state(Start), BackendState::Draining);
    EXPECT_FALSE(draining.acceptsCalls(Start));
    EXPECT_FALSE(draining.canStart(Start));
}

TEST(BackendTracker, LateReportBeforeTheStoreIsReadDoesNotUndoADepartureThatAnEarlierProcessAcknowledged)
{
    const BackendTracker waiting = fresh.withAwaitsDepartures(true).withProcessStartedAtMs(WallClockMs);
    BackendTracker tracker = after(waiting, report("i-1", 5, 4, BackendState::Ready)).tracker;
    EXPECT_FALSE(tracker.canStart(Start));
    EXPECT_FALSE(tracker.acceptsCalls(Start));
    // Reports that arrive late may arrive together.
    for (std::uint64_t sequence = 5; sequence < 9; ++sequence) {
        tracker = after(tracker, report("i-1", 5, sequence, BackendState::Ready)).tracker;
    }
    EXPECT_FALSE(tracker.canStart(Start));
    const Departures earlier = {Departure().withInstance("i-1").withStartedAtMs(5)};
    tracker = afterRecovery(tracker, earlier, Start);
    EXPECT_EQ(tracker.state(Start), BackendState::Draining);
    EXPECT_FALSE(tracker.canStart(Start));
    EXPECT_TRUE(after(tracker, report("i-1", 6, 1, BackendState::Ready)).tracker.isServing(Start)) << "a new start";
}

TEST(BackendTracker, InstanceIsReadyOnceTheStoreIsReadUnlessItHasDeparted)
{
    const BackendTracker waiting = fresh.withAwaitsDepartures(true).withProcessStartedAtMs(WallClockMs);
    const BackendTracker held = after(waiting, report("i-1", 5, 4, BackendState::Ready)).tracker;
    EXPECT_TRUE(afterRecovery(held, {}, Start).isServing(Start));
    EXPECT_TRUE(after(waiting, report("i-1", WallClockMs + 1, 1, BackendState::Ready)).tracker.isServing(Start))
        << "no earlier process knew it";
}

// Guards against a new start that gets no work while the store is away, since its clock shows the millisecond in which
// the node's process started.
TEST(BackendTracker, InstanceThatStartsInTheMillisecondOfItsNodeGetsWorkBeforeTheStoreIsRead)
{
    const BackendTracker waiting = fresh.withAwaitsDepartures(true).withProcessStartedAtMs(WallClockMs);
    EXPECT_TRUE(after(waiting, report("i-1", WallClockMs, 1, BackendState::Ready)).tracker.isServing(Start));
    EXPECT_FALSE(after(waiting, report("i-1", WallClockMs - 1, 1, BackendState::Ready)).tracker.isServing(Start));
}

TEST(BackendTracker, InstanceThatGoesOnReportingIsReadyAlthoughTheStoreCannotBeRead)
{
    BackendTracker tracker = fresh.withAwaitsDepartures(true).withProcessStartedAtMs(WallClockMs);
    TimePoint now = Start;
    for (std::uint64_t sequence = 4; sequence < 4 + MaxLateReports; ++sequence) {
        tracker = after(tracker, report("i-1", 5, sequence, BackendState::Ready), now).tracker;
        EXPECT_FALSE(tracker.isServing(now)) << sequence;
        now += milliseconds(1500);
    }
    tracker = after(tracker, report("i-1", 5, 4 + MaxLateReports, BackendState::Ready), now).tracker;
    EXPECT_TRUE(tracker.isServing(now));
}

TEST(BackendTracker, InstanceThatDrainsBeforeTheStoreIsReadGetsNoCall)
{
    // It may have said so before, to an earlier process.
    const BackendTracker waiting = fresh.withAwaitsDepartures(true).withProcessStartedAtMs(WallClockMs);
    const BackendTracker held = after(waiting, report("i-1", 5, 4, BackendState::Ready)).tracker;
    EXPECT_FALSE(after(held, report("i-1", 5, 5, BackendState::Draining)).tracker.canStart(Start));
    EXPECT_FALSE(afterDeregistration(held, "i-1", Start, WallClockMs).tracker.canStart(Start));
}

TEST(BackendTracker, ReportThatAnInstanceDrainsIsKeptToAlsoIfALaterOneHasOvertakenIt)
{
    const BackendTracker ready = after(fresh, report("i-1", 5, 4, BackendState::Ready)).tracker;
    const TrackerUpdate update = after(ready, report("i-1", 5, 3, BackendState::Draining));
    EXPECT_EQ(update.verdict, ReportVerdict::Stale);
    EXPECT_EQ(update.tracker.state(Start), BackendState::Draining);
    EXPECT_TRUE(hasDeparted(update.tracker.departures(), report("i-1", 5, 9, BackendState::Ready), Start));
}

TEST(BackendTracker, DepartureWithoutAStartTimeEndsHoweverOftenTheStoreIsRead)
{
    const Departures earlier = {Departure().withInstance("i-1").withDepartedAtMs(WallClockMs)};
    BackendTracker tracker = afterRecovery(fresh, earlier, Start);
    tracker = afterRecovery(tracker, departuresIn(tracker.departures()), Start + DepartureMemory / 2);
    EXPECT_FALSE(after(tracker, report("i-1", 1, 1, BackendState::Ready), Start).tracker.isServing(Start));
    const TimePoint later = Start + DepartureMemory;
    EXPECT_TRUE(after(tracker, report("i-1", 1, 1, BackendState::Ready), later).tracker.isServing(later));
}

TEST(BackendTracker, TimeoutsFollowTheSettings)
{
    for (const int drainMs : {400, 1000, 2500, 10'000}) {
        const BackendTimeouts timeouts = BackendTimeouts::from(milliseconds(drainMs), milliseconds(drainMs));
        EXPECT_LT(timeouts.drainLimit(), milliseconds(drainMs));
        EXPECT_LT(timeouts.drainGrace(), timeouts.drainLimit());
        EXPECT_GT(timeouts.silenceTimeout(), milliseconds(drainMs) * 2) << "one report may be missing";
    }
}

TEST(BackendTracker, SilentBackendServerIsNotServingUntilItReportsAgain)
{
    const BackendTracker ready = after(fresh, report("i-1", 5, 4, BackendState::Ready)).tracker;
    const TimePoint late = Start + usualTimeouts.silenceTimeout();
    EXPECT_EQ(ready.state(late), BackendState::Silent);
    EXPECT_FALSE(ready.isServing(late));
    EXPECT_TRUE(after(ready, report("i-1", 5, 5, BackendState::Ready), late).tracker.isServing(late));
    // The wall clock may have been set back before the new instance started.
    EXPECT_TRUE(after(ready, report("i-2", 3, 1, BackendState::Ready), late).tracker.isServing(late));
}

RC_GTEST_PROP(BackendTrackerProperty, AnyOrderOfReportsEndsInTheLatestState, (unsigned seed))
{
    std::mt19937 random(seed);
    std::vector<BackendReport> reports;
    const std::uint64_t instances = 1 + random() % 3;
    for (std::uint64_t instance = 1; instance <= instances; ++instance) {
        const std::uint64_t count = 1 + random() % 5;
        for (std::uint64_t sequence = 1; sequence <= count; ++sequence) {
            const bool isDraining = sequence == count && random() % 2 == 0;
            reports.push_back(report("i-" + std::to_string(instance),
                                     instance,
                                     sequence,
                                     isDraining ? BackendState::Draining : BackendState::Ready));
        }
    }
    const BackendReport latest = reports.back();
    std::shuffle(reports.begin(), reports.end(), random);
    BackendTracker known = fresh;
    for (const BackendReport &next : reports) {
        known = after(known, next).tracker;
    }
    RC_ASSERT(known.report() == latest);
    RC_ASSERT((known.state(Start) == BackendState::Draining) == (latest.state() == BackendState::Draining));
}

} // namespace fescuepond
