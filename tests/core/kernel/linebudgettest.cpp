// How many lines the event log may write.

#include "core/kernel/linebudget.h"

#include <gtest/gtest.h>

namespace fescuepond
{

TEST(LineBudget, LeavesOutWhatIsBeyondASecondsLinesAndCountsItByEvent)
{
    LineBudget budget(10);
    int written = 0;
    for (int i = 0; i < 25; ++i) {
        written += budget.take("call_failed", LineWeight::Failure, 500) ? 1 : 0;
    }
    EXPECT_EQ(written, 10);
    const std::map<std::string, std::size_t> expected = {{"call_failed", 15}};
    EXPECT_EQ(budget.takeSuppressed(), expected);
    EXPECT_TRUE(budget.takeSuppressed().empty());
    EXPECT_TRUE(budget.take("call_failed", LineWeight::Failure, 1500));
}

TEST(LineBudget, RoutineLinesLeaveRoomForFailures)
{
    LineBudget budget(10);
    int routine = 0;
    for (int i = 0; i < 25; ++i) {
        routine += budget.take("call_ended", LineWeight::Routine, 500) ? 1 : 0;
    }
    EXPECT_EQ(routine, 5);
    EXPECT_TRUE(budget.take("call_failed", LineWeight::Failure, 500));
}

TEST(LineBudget, ZeroMeansWithoutLimit)
{
    LineBudget budget(0);
    for (int i = 0; i < 1000; ++i) {
        EXPECT_TRUE(budget.take("call_ended", LineWeight::Routine, 500));
    }
}

} // namespace fescuepond
