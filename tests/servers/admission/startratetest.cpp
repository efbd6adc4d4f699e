// The rate at which calls start. Guards against a burst beyond the rate, and against a rate that isn't used up.

#include "servers/admission/startrate.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

namespace fescuepond
{

namespace
{

using std::chrono::milliseconds;

constexpr TimePoint Start{std::chrono::hours(1)};

} // namespace

RC_GTEST_PROP(StartRateProperty, NoWindowHoldsMoreStartsThanTheRateAndTheBurstAllow, ())
{
    const double perSecond = *rc::gen::inRange(1, 4000) / 20.0;
    StartRate rate = StartRate().withPerSecond(perSecond);
    std::vector<TimePoint> starts;
    TimePoint now = Start;
    for (int i = 0; i < 400; ++i) {
        now += milliseconds(*rc::gen::inRange(0, 100));
        for (int calls = *rc::gen::inRange(0, 10); calls > 0 && rate.nextStart() <= now; --calls) {
            rate = rate.afterStart(now);
            starts.push_back(now);
        }
    }
    const auto window = std::chrono::seconds(4);
    for (auto first = starts.begin(); first != starts.end(); ++first) {
        const auto end = std::find_if(first, starts.end(), [&](TimePoint start) {
            return start > *first + window;
        });
        RC_ASSERT(static_cast<double>(end - first) <= perSecond * 4.2 + 1);
    }
}

TEST(StartRate, IsUsedUpByCallsThatWait)
{
    StartRate rate = StartRate().withPerSecond(20);
    int starts = 0;
    for (TimePoint now = Start; now < Start + std::chrono::seconds(10); now += milliseconds(10)) {
        while (rate.nextStart() <= now) {
            rate = rate.afterStart(now);
            ++starts;
        }
    }
    EXPECT_GE(starts, 200);
    EXPECT_LE(starts, 206);
}

TEST(StartRate, IsNotLimitedUnlessARateIsNamed)
{
    StartRate rate;
    for (int i = 0; i < 1000; ++i) {
        ASSERT_LE(rate.nextStart(), Start);
        rate = rate.afterStart(Start);
    }
}

} // namespace fescuepond
