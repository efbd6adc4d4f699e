// The rate limit of the event log: lines beyond it are counted, and routine lines don't displace failures.

#include "core/kernel/logratelimiter.h"

#include <gtest/gtest.h>

namespace fescuepond
{

TEST(LogRateLimiter, SuppressesLinesBeyondTheLimitAndCountsThemByEvent)
{
    LogRateLimiter limiter(10);
    int written = 0;
    for (int i = 0; i < 25; ++i) {
        written += limiter.allow("call_failed", EventSeverity::Failure, 500) ? 1 : 0;
    }
    EXPECT_EQ(written, 10);
    const std::map<std::string, std::size_t> expected = {{"call_failed", 15}};
    EXPECT_EQ(limiter.takeSuppressed(), expected);
    EXPECT_TRUE(limiter.takeSuppressed().empty());
    EXPECT_TRUE(limiter.allow("call_failed", EventSeverity::Failure, 1500));
}

TEST(LogRateLimiter, RoutineLinesUseAtMostHalfOfTheLimit)
{
    LogRateLimiter limiter(10);
    int routine = 0;
    for (int i = 0; i < 25; ++i) {
        routine += limiter.allow("call_ended", EventSeverity::Routine, 500) ? 1 : 0;
    }
    EXPECT_EQ(routine, 5);
    EXPECT_TRUE(limiter.allow("call_failed", EventSeverity::Failure, 500));
}

TEST(LogRateLimiter, ZeroMeansNoLimit)
{
    LogRateLimiter limiter(0);
    for (int i = 0; i < 1000; ++i) {
        EXPECT_TRUE(limiter.allow("call_ended", EventSeverity::Routine, 500));
    }
}

} // namespace fescuepond
