// The lock order: an acquisition out of order aborts before it can deadlock.

#include "core/kernel/sharedtable.h"

#include <gtest/gtest.h>

namespace fescuepond
{

TEST(LockOrder, LocksInOrderMayBeHeldTogether)
{
    SharedTable<int> members(LockRank::Members, 1);
    SharedTable<int> routing(LockRank::Routing, 2);
    const int sum = members.locked([&](int &first) {
        return first + routing.locked([](int &second) {
            return second;
        });
    });
    EXPECT_EQ(sum, 3);
}

TEST(LockOrderDeathTest, LocksOutOfOrderAbort)
{
    GTEST_FLAG_SET(death_test_style, "threadsafe");
    SharedTable<int> members(LockRank::Members, 1);
    SharedTable<int> routing(LockRank::Routing, 2);
    const auto outOfOrder = [&] {
        routing.locked([&](int &) {
            members.locked([](int &) {});
        });
    };
    EXPECT_DEATH(outOfOrder(), "lock_order_violated");
}

} // namespace fescuepond
