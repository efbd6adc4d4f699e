// What a node makes of the reports of its backend server, also when they come late or out of order.

#include "servers/registration/backendregister.h"

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

const BackendTimes usualTimes = BackendTimes::from(std::chrono::seconds(2), milliseconds(1500));
const BackendRegister fresh = BackendRegister().withTimes(usualTimes);

BackendReport report(const std::string &instance, std::uint64_t born, std::uint64_t sequence, BackendState state)
{
    return BackendReport()
        .withInstance(instance)
        .withStartedAtMs(born)
        .withSequence(sequence)
        .withService("yard")
        .withSlots(24)
        .withState(state);
}

RegisterStep after(const BackendRegister &known, const BackendReport &next, TimePoint now = Start)
{
    return afterReport(known, next, "yard", now);
}

} // namespace

TEST(BackendRegister, NothingArrivesBeforeTheFirstReport)
{
    const BackendRegister &none = fresh;
    EXPECT_FALSE(none.mayArrive(Start));
    EXPECT_FALSE(none.mayBegin(Start));
    const BackendRegister ready = after(none, report("i-1", 5, 1, BackendState::Ready)).state;
    EXPECT_TRUE(ready.isServing(Start));
    EXPECT_TRUE(ready.mayBegin(Start));
}

TEST(BackendRegister, LateReportsOfABootChangeNothing)
{
    const BackendRegister ready = after(fresh, report("i-1", 5, 4, BackendState::Ready)).state;
    EXPECT_EQ(after(ready, report("i-1", 5, 3, BackendState::Draining)).verdict, ReportVerdict::Old);
    EXPECT_EQ(after(ready, report("i-0", 4, 9, BackendState::Ready)).verdict, ReportVerdict::Old);
    EXPECT_EQ(afterReport(ready, report("i-1", 5, 5, BackendState::Ready), "quarry", Start).verdict,
              ReportVerdict::Foreign);
}

TEST(BackendRegister, ABootThatLeavesDoesNotComeBackButItsNextBootDoes)
{
    const BackendRegister ready = after(fresh, report("i-1", 5, 4, BackendState::Ready)).state;
    const BackendRegister draining = after(ready, report("i-1", 5, 5, BackendState::Draining)).state;
    EXPECT_EQ(draining.state(Start), BackendState::Draining);
    const BackendRegister again =
        after(draining, report("i-1", 5, 6, BackendState::Ready), Start + milliseconds(100)).state;
    EXPECT_EQ(again.state(Start + milliseconds(100)), BackendState::Draining);
    EXPECT_TRUE(after(again, report("i-1", 9, 1, BackendState::Ready)).state.isServing(Start));
}

TEST(BackendRegister, AfterItsWordThatItLeavesTheDoorClosesBeforeTheBoundOfTwoSeconds)
{
    constexpr Duration Bound = std::chrono::seconds(2);
    const BackendRegister ready = after(fresh, report("i-1", 5, 4, BackendState::Ready)).state;
    for (const BackendRegister &leaving :
         {after(ready, report("i-1", 5, 5, BackendState::Draining)).state, afterLeave(ready, "i-1", Start).state}) {
        EXPECT_TRUE(leaving.mayBegin(Start));
        EXPECT_FALSE(leaving.mayArrive(Start + usualTimes.drainGrace()));
        EXPECT_FALSE(leaving.mayBegin(Start + usualTimes.drainLimit()));
        EXPECT_LT(usualTimes.drainLimit(), Bound);
    }
    EXPECT_EQ(afterLeave(ready, "i-0", Start).verdict, ReportVerdict::Foreign);
}

TEST(BackendRegister, ItsTimesFollowTheSurroundings)
{
    for (const int drainMs : {400, 1000, 2500, 10'000}) {
        const BackendTimes times = BackendTimes::from(milliseconds(drainMs), milliseconds(drainMs));
        EXPECT_LT(times.drainLimit(), milliseconds(drainMs));
        EXPECT_LT(times.drainGrace(), times.drainLimit());
        EXPECT_GT(times.silence(), milliseconds(drainMs) * 2) << "one report may be missing";
    }
}

TEST(BackendRegister, ASilentBackendServerGetsNoNewCallsUntilItReportsAgain)
{
    const BackendRegister ready = after(fresh, report("i-1", 5, 4, BackendState::Ready)).state;
    const TimePoint late = Start + usualTimes.silence();
    EXPECT_EQ(ready.state(late), BackendState::Silent);
    EXPECT_FALSE(ready.isServing(late));
    EXPECT_TRUE(after(ready, report("i-1", 5, 5, BackendState::Ready), late).state.isServing(late));
    // The wall clock of a new boot may have been set back.
    EXPECT_TRUE(after(ready, report("i-2", 3, 1, BackendState::Ready), late).state.isServing(late));
}

RC_GTEST_PROP(BackendRegisterProperty, AnyOrderOfReportsEndsAtTheLatest, (unsigned seed))
{
    std::mt19937 random(seed);
    std::vector<BackendReport> reports;
    const std::uint64_t boots = 1 + random() % 3;
    for (std::uint64_t boot = 1; boot <= boots; ++boot) {
        const std::uint64_t count = 1 + random() % 5;
        for (std::uint64_t sequence = 1; sequence <= count; ++sequence) {
            const bool leaves = sequence == count && random() % 2 == 0;
            reports.push_back(report(
                "i-" + std::to_string(boot), boot, sequence, leaves ? BackendState::Draining : BackendState::Ready));
        }
    }
    const BackendReport latest = reports.back();
    std::shuffle(reports.begin(), reports.end(), random);
    BackendRegister known = fresh;
    for (const BackendReport &next : reports) {
        known = after(known, next).state;
    }
    RC_ASSERT(known.report() == latest);
    RC_ASSERT((known.state(Start) == BackendState::Draining) == (latest.state() == BackendState::Draining));
}

} // namespace fescuepond
