// Decides whether a call is retried after a failed attempt.

#pragma once

#include "core/value.h"
#include "core/values/call.h"
#include "servers/retry/retryallowance.h"

#include <compare>

namespace fescuepond
{

/// Input to the decision on a retry.
class FailedAttempt
{
    FESCUEPOND_FIELD(CallOutcome, outcome, withOutcome);
    FESCUEPOND_FIELD(bool, idempotent, withIdempotent);
    FESCUEPOND_FIELD(RetryAllowance, allowance, withAllowance);
    FESCUEPOND_FIELD(Duration, elapsed, withElapsed); ///< Duration of the attempt.
    FESCUEPOND_FIELD(Duration, remaining, withRemaining); ///< Time until the deadline.
    FESCUEPOND_FIELD(int, crashCount, withCrashCount); ///< Backend servers that were lost while they ran the call.

public:
    friend auto operator<=>(const FailedAttempt &, const FailedAttempt &) = default;
};

enum class RetryVerdict {
    Retry,
    Success, ///< The attempt hasn't failed.
    NotRetryable, ///< A retry can't help, or the call isn't idempotent and may have run.
    NoAllowance, ///< The retry allowance of the call is used up.
    NoBudget, ///< The retry budget of the service is used up.
    NoTime, ///< Less time is left than the failed attempt took.
};

/// `isWithinBudget`: the retry budget of the service permits another retry.
RetryVerdict decideRetry(const FailedAttempt &attempt, bool isWithinBudget);

const char *toString(RetryVerdict verdict);

} // namespace fescuepond
