// The account of the memory that is held for callers and backend servers. Guards against a sum beyond its limit, a
// rejected charge that stays, and large charges that leave no room for small ones.

#include "core/values/body.h"

#include <gtest/gtest.h>

#include <limits>
#include <string>
#include <utility>
#include <vector>

namespace fescuepond
{

namespace
{

constexpr std::size_t Limit = 1'000'000;

class BodyMemory : public testing::Test
{
protected:
    void SetUp() override
    {
        setBodyMemoryLimit(Limit);
    }
    void TearDown() override
    {
        setBodyMemoryLimit(std::numeric_limits<std::size_t>::max());
        EXPECT_EQ(held(), 0U);
    }
    /// The sum of the charges of the test.
    std::size_t held() const
    {
        return heldBodyBytes() - m_before;
    }

    const std::size_t m_before = heldBodyBytes(); ///< Bodies of the test program itself, all small.
};

} // namespace

TEST_F(BodyMemory, ARejectedChargeAddsNothing)
{
    BodyCharge first;
    ASSERT_TRUE(first.add(Limit - 1));
    BodyCharge second;
    const std::uint64_t before = rejectedBodyCharges();
    EXPECT_FALSE(second.add(SmallBodyBytes + 1));
    EXPECT_EQ(rejectedBodyCharges(), before + 1);
    EXPECT_EQ(held(), Limit - 1);
    first.release(SmallBodyBytes);
    EXPECT_TRUE(second.add(SmallBodyBytes + 1));
}

TEST_F(BodyMemory, LargeChargesLeaveRoomForSmallOnes)
{
    BodyCharge large;
    ASSERT_TRUE(large.add(Limit));
    BodyCharge small;
    EXPECT_TRUE(small.add(SmallBodyBytes));
    EXPECT_FALSE(small.add(1)) << "it would be large";
}

TEST_F(BodyMemory, SmallChargesTogetherAreLimitedToo)
{
    std::vector<BodyCharge> charges;
    std::size_t sum = 0;
    while (true) {
        BodyCharge charge;
        if (!charge.add(SmallBodyBytes)) {
            break;
        }
        sum += SmallBodyBytes;
        charges.push_back(std::move(charge));
        ASSERT_LE(m_before + sum, 2 * Limit);
    }
    EXPECT_GT(m_before + sum, 2 * Limit - SmallBodyBytes);
    EXPECT_EQ(held(), sum);
}

TEST_F(BodyMemory, AChargeThatGrowsLargeCountsAsAWhole)
{
    BodyCharge first;
    ASSERT_TRUE(first.add(SmallBodyBytes));
    BodyCharge second;
    ASSERT_TRUE(second.add(Limit - SmallBodyBytes));
    EXPECT_FALSE(first.add(1));
    second.release(1);
    EXPECT_TRUE(first.add(1));
    // And no longer if it shrinks.
    first.release(1);
    EXPECT_TRUE(second.add(1 + SmallBodyBytes));
}

TEST_F(BodyMemory, ABodyTakesOverTheChargeOfItsBytes)
{
    BodyCharge charge;
    ASSERT_TRUE(charge.add(Limit));
    {
        std::vector<Body> copies(2, Body(std::string(Limit, 'b'), std::move(charge)));
        copies.pop_back();
        EXPECT_EQ(held(), Limit);
    }
    EXPECT_EQ(held(), 0U);
}

} // namespace fescuepond
