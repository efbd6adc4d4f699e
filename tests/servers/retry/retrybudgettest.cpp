// The retry budget: each node keeps to its share, so that the fleet keeps to the configured ratio.

#include "servers/retry/retrybudget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <random>

namespace fescuepond
{

namespace
{

using std::chrono::milliseconds;

constexpr double Ratio = 0.2;
constexpr double Slack = 48;
constexpr Duration RetryWindow = std::chrono::seconds(10);

RetryRules rulesFor(std::size_t nodes)
{
    return RetryRules().withRatio(Ratio).withSlack(Slack).withNodes(nodes).withWindow(RetryWindow);
}

/// Counts events in a sliding window.
class SlidingCount
{
public:
    void add(TimePoint now)
    {
        m_times.push_back(now);
    }
    std::size_t count(TimePoint now)
    {
        while (!m_times.empty() && now - m_times.front() >= RetryWindow) {
            m_times.pop_front();
        }
        return m_times.size();
    }

private:
    std::deque<TimePoint> m_times;
};

} // namespace

RC_GTEST_PROP(RetryBudgetProperty, TheFleetKeepsToTheRatioInEveryWindow, (unsigned seed))
{
    std::mt19937 random(seed);
    const std::size_t nodes = 1 + random() % 100;
    const std::size_t callsPerSecond = 1 + random() % 500;
    std::vector<RetryBudget> budgets(nodes);
    // A few nodes make most of the calls.
    std::geometric_distribution<std::size_t> skewed(0.05 + 0.005 * static_cast<double>(random() % 100));
    SlidingCount calls;
    SlidingCount retries;
    TimePoint now{std::chrono::hours(1)};
    for (int i = 0; i < 8000; ++i) {
        now += milliseconds(1 + static_cast<int>(random() % 2000 / callsPerSecond));
        RetryBudget &budget = budgets[skewed(random) % nodes];
        budget = budget.afterCall(rulesFor(nodes), now);
        calls.add(now);
        // Every call fails: each node sends as many retries as its budget permits.
        for (int retry = 0; retry < 3 && budget.permitsRetry(rulesFor(nodes), now); ++retry) {
            budget = budget.afterRetry(rulesFor(nodes), now);
            retries.add(now);
        }
        const auto callCount = static_cast<double>(calls.count(now));
        RC_ASSERT(static_cast<double>(retries.count(now))
                  <= Ratio / RetryingLevels * callCount + Slack * SlackRatio + 1);
    }
}

TEST(RetryBudget, NodeCanUseItsShareOfTheSlackWithoutCalls)
{
    const TimePoint now{std::chrono::hours(1)};
    RetryBudget budget;
    int sent = 0;
    while (budget.permitsRetry(rulesFor(1), now)) {
        budget = budget.afterRetry(rulesFor(1), now);
        ++sent;
    }
    EXPECT_EQ(sent, 8);
    EXPECT_FALSE(budget.permitsRetry(rulesFor(1), now + RetryWindow - milliseconds(1)));
    EXPECT_TRUE(budget.permitsRetry(rulesFor(1), now + RetryWindow + std::chrono::seconds(1)));
}

TEST(RetryBudget, NodeOfALargeFleetNeedsCallsBeforeItCanRetry)
{
    const TimePoint now{std::chrono::hours(1)};
    RetryBudget budget;
    EXPECT_FALSE(budget.permitsRetry(rulesFor(100), now));
    for (int i = 0; i < 20; ++i) {
        budget = budget.afterCall(rulesFor(100), now);
    }
    EXPECT_TRUE(budget.permitsRetry(rulesFor(100), now));
}

} // namespace fescuepond
