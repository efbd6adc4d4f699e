// Whether a call whose attempt failed is sent again.

#pragma once

#include "core/value.h"
#include "core/values/call.h"
#include "servers/retry/retryallowance.h"

#include <compare>

namespace fescuepond
{

/// What a decision on one more attempt depends on.
class FailedAttempt
{
    FESCUEPOND_FIELD(CallOutcome, outcome, withOutcome);
    FESCUEPOND_FIELD(bool, idempotent, withIdempotent);
    FESCUEPOND_FIELD(RetryAllowance, allowance, withAllowance);
    FESCUEPOND_FIELD(Duration, elapsed, withElapsed); ///< How long the attempt took.
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

/// `isWithinBudget`: the budget of repeats to the service has room for one.
RetryVerdict decideRetry(const FailedAttempt &attempt, bool isWithinBudget);

const char *toString(RetryVerdict verdict);

} // namespace fescuepond
