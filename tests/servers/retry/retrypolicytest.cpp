// Which failures are retried.

#include "servers/retry/retrypolicy.h"

#include <gtest/gtest.h>

namespace fescuepond
{

namespace
{

FailedAttempt attemptWith(const CallOutcome &outcome)
{
    return FailedAttempt()
        .withOutcome(outcome)
        .withIdempotent(true)
        .withAllowance(RetryAllowance(2).afterSending().afterEnding(2))
        .withTook(std::chrono::milliseconds(10))
        .withRemaining(std::chrono::milliseconds(500));
}

CallOutcome answered(int status)
{
    return CallOutcome().withState(CallState::Answered).withStatus(status);
}

} // namespace

TEST(RetryPolicy, OverloadIsNotRetried)
{
    const auto refused = attemptWith(CallOutcome::notRun(Reason::Overload, ""));
    EXPECT_EQ(decideRetry(refused, RetryBudget()), RetryVerdict::NotRetryable);
    EXPECT_EQ(decideRetry(attemptWith(answered(503)), RetryBudget()), RetryVerdict::NotRetryable);
}

TEST(RetryPolicy, OnlyTheHopNextToTheFailureRetries)
{
    EXPECT_EQ(decideRetry(attemptWith(answered(500)), RetryBudget()), RetryVerdict::Retry);
    const CallOutcome failedBelow = answered(500).withReason(Reason::FailedBelow);
    EXPECT_EQ(decideRetry(attemptWith(failedBelow), RetryBudget()), RetryVerdict::NotRetryable);
}

TEST(RetryPolicy, NonIdempotentCallIsRetriedOnlyWhenItDidNotRun)
{
    const auto unknown = attemptWith(CallOutcome::unknown(Reason::ConnectionLost, ""));
    EXPECT_EQ(decideRetry(unknown, RetryBudget()), RetryVerdict::Retry);
    EXPECT_EQ(decideRetry(unknown.withIdempotent(false), RetryBudget()), RetryVerdict::NotRetryable);
    const auto notRun = attemptWith(CallOutcome::notRun(Reason::ConnectionLost, ""));
    EXPECT_EQ(decideRetry(notRun.withIdempotent(false), RetryBudget()), RetryVerdict::Retry);
}

TEST(RetryPolicy, NoRetryWithoutTimeAllowanceOrBudget)
{
    const auto failed = attemptWith(answered(500));
    const auto late = failed.withRemaining(std::chrono::milliseconds(10));
    EXPECT_EQ(decideRetry(late, RetryBudget()), RetryVerdict::NoTime);
    const auto spent = failed.withAllowance(RetryAllowance(0).afterSending().afterEnding(0));
    EXPECT_EQ(decideRetry(spent, RetryBudget()), RetryVerdict::NoAllowance);
    EXPECT_EQ(decideRetry(failed, RetryBudget().withTokens(0.5)), RetryVerdict::NoBudget);
}

TEST(RetryPolicy, BudgetKeepsRetriesToATenthOfSuccesses)
{
    RetryBudget budget = RetryBudget().withTokens(0);
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget = budget.afterSuccess();
        if (budget.permitsRetry()) {
            budget = budget.afterRetry();
            ++retries;
        }
    }
    EXPECT_LE(retries, 100);
    EXPECT_GE(retries, 98);
}

TEST(RetryPolicy, RequestThatTookTwoBackendServersIsNotSentToAThird)
{
    const auto lost = attemptWith(CallOutcome::unknown(Reason::BackendLost, ""));
    EXPECT_EQ(decideRetry(lost.withCrashCount(1), RetryBudget()), RetryVerdict::Retry);
    EXPECT_EQ(decideRetry(lost.withCrashCount(2), RetryBudget()), RetryVerdict::NotRetryable);
}

} // namespace fescuepond
