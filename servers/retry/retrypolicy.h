// Whether a call whose attempt failed is sent again.

#pragma once

#include "core/value.h"
#include "core/values/call.h"
#include "servers/retry/retryallowance.h"

#include <compare>

namespace fescuepond
{

/// Retries that one edge (this node to one service) may still send. Successes refill it, so that retries stay a small
/// part of the traffic that works, whatever single calls are allowed.
class RetryBudget
{
    FESCUEPOND_FIELD(double, tokens, withTokens);

public:
    RetryBudget();
    RetryBudget afterSuccess() const;
    RetryBudget afterRetry() const;
    bool permitsRetry() const;
    friend auto operator<=>(const RetryBudget &, const RetryBudget &) = default;
};

/// What a decision on one more attempt depends on.
class FailedAttempt
{
    FESCUEPOND_FIELD(CallOutcome, outcome, withOutcome);
    FESCUEPOND_FIELD(bool, idempotent, withIdempotent);
    FESCUEPOND_FIELD(RetryAllowance, allowance, withAllowance);
    FESCUEPOND_FIELD(Duration, took, withTook); ///< How long the attempt took.
    FESCUEPOND_FIELD(Duration, remaining, withRemaining); ///< Time until the deadline.
    FESCUEPOND_FIELD(int, crashCount, withCrashCount); ///< Backend servers lost while they ran the call.

public:
    friend auto operator<=>(const FailedAttempt &, const FailedAttempt &) = default;
};

enum class RetryVerdict {
    Retry,
    Success, ///< There is nothing to retry.
    NotRetryable, ///< The outcome, or the kind, rules it out.
    NoAllowance,
    NoBudget,
    NoTime,
};

RetryVerdict decideRetry(const FailedAttempt &attempt, const RetryBudget &budget);

const char *toString(RetryVerdict verdict);

} // namespace fescuepond
