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
        .withAllowance(RetryAllowance(2).afterSending().afterCompletion(2))
        .withElapsed(std::chrono::milliseconds(10))
        .withRemaining(std::chrono::milliseconds(500));
}

CallOutcome answered(int status)
{
    return CallOutcome().withState(CallState::Answered).withStatus(status);
}

} // namespace

TEST(RetryPolicy, OverloadIsNotRetried)
{
    for (const Reason reason : {Reason::Overload, Reason::BackendBusy}) {
        EXPECT_EQ(decideRetry(attemptWith(CallOutcome::notRun(reason, "")), true), RetryVerdict::NotRetryable);
    }
    EXPECT_EQ(decideRetry(attemptWith(answered(503)), true), RetryVerdict::NotRetryable);
}

TEST(RetryPolicy, RejectionByABackendServerWithFreeSlotsIsRetriedElsewhere)
{
    const CallOutcome rejection = CallOutcome::notRun(Reason::BackendBusy, "").withTargetLimit(29);
    const auto verdictAt = [&](int inFlight) {
        return decideRetry(attemptWith(rejection.withTargetInFlight(inFlight)).withIdempotent(false), true);
    };
    EXPECT_EQ(verdictAt(12), RetryVerdict::Retry);
    EXPECT_EQ(verdictAt(29), RetryVerdict::NotRetryable);
    EXPECT_EQ(verdictAt(50), RetryVerdict::NotRetryable);
    EXPECT_EQ(decideRetry(attemptWith(rejection.withTargetInFlight(12)), false), RetryVerdict::NoBudget);
}

TEST(RetryPolicy, OnlyTheHopNextToTheFailureRetries)
{
    EXPECT_EQ(decideRetry(attemptWith(answered(500)), true), RetryVerdict::Retry);
    const CallOutcome childCallFailed = answered(500).withReason(Reason::ChildCallFailed);
    EXPECT_EQ(decideRetry(attemptWith(childCallFailed), true), RetryVerdict::NotRetryable);
}

TEST(RetryPolicy, NonIdempotentCallIsRetriedOnlyIfItWasNotRun)
{
    const auto unknown = attemptWith(CallOutcome::unknown(Reason::ConnectionLost, ""));
    EXPECT_EQ(decideRetry(unknown, true), RetryVerdict::Retry);
    EXPECT_EQ(decideRetry(unknown.withIdempotent(false), true), RetryVerdict::NotRetryable);
    const auto notRun = attemptWith(CallOutcome::notRun(Reason::ConnectionLost, ""));
    EXPECT_EQ(decideRetry(notRun.withIdempotent(false), true), RetryVerdict::Retry);
}

TEST(RetryPolicy, NoRetryWithoutTimeAllowanceOrBudget)
{
    const auto failed = attemptWith(answered(500));
    const auto late = failed.withRemaining(std::chrono::milliseconds(10));
    EXPECT_EQ(decideRetry(late, true), RetryVerdict::NoTime);
    const auto spent = failed.withAllowance(RetryAllowance(0).afterSending().afterCompletion(0));
    EXPECT_EQ(decideRetry(spent, true), RetryVerdict::NoAllowance);
    EXPECT_EQ(decideRetry(failed, false), RetryVerdict::NoBudget);
}

TEST(RetryPolicy, RequestThatLostTwoBackendServersIsNotSentToAThird)
{
    const auto lost = attemptWith(CallOutcome::unknown(Reason::BackendLost, ""));
    EXPECT_EQ(decideRetry(lost.withCrashCount(1), true), RetryVerdict::Retry);
    EXPECT_EQ(decideRetry(lost.withCrashCount(2), true), RetryVerdict::NotRetryable);
}

} // namespace fescuepond
