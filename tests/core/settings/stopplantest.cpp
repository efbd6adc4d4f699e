// The phases of a planned stop fit into the time before the process is killed.

#include "core/settings/stopplan.h"

#include <gtest/gtest.h>

namespace fescuepond
{

namespace
{

const NodeSettings unlimited = NodeSettings().withLeaveGrace(Milliseconds(2200)).withDrainTimeout(Milliseconds(30000));

} // namespace

TEST(StopPlan, UsesTheSettingsIfThereIsNoLimit)
{
    const StopPlan plan = stopPlan(unlimited);
    EXPECT_EQ(plan.leaveGrace, Milliseconds(2200));
    EXPECT_EQ(plan.drainTimeout, Milliseconds(30000));
}

TEST(StopPlan, EndsBeforeAnyLimit)
{
    for (const double limit : {0.5, 1.0, 2.0, 3.0, 6.0, 10.0, 60.0}) {
        const StopPlan plan = stopPlan(unlimited.withStopLimit(Seconds(limit)));
        EXPECT_LT(Seconds(plan.leaveGrace + plan.drainTimeout).count(), limit) << limit;
        EXPECT_GT(plan.drainTimeout, plan.leaveGrace) << limit;
        EXPECT_GT(plan.leaveGrace.count(), 0) << limit;
    }
}

} // namespace fescuepond
