// The retry allowance of one call: how many retries are left to it and to all calls made on its behalf.
//
// A root request gets one allowance. Each attempt delegates all that is left of it downstream, and the answer returns
// the unused retries; if the answer is lost, those delegated count as spent. So the attempts of a whole call tree never
// outnumber its calls by more than the allowance of the root request.

#pragma once

#include "core/value.h"

#include <compare>

namespace fescuepond
{

/// The state between the attempts of one call. Invariant: left + delegated + used + notReturned is the total, and
/// attempts is at most one more than used.
class RetryAllowance
{
    FESCUEPOND_FIELD(int, total, withTotal);
    FESCUEPOND_FIELD(int, left, withLeft);
    FESCUEPOND_FIELD(int, delegated, withDelegated); ///< Passed downstream with the running attempt.
    FESCUEPOND_FIELD(int, used, withUsed); ///< Retries of this call itself.
    FESCUEPOND_FIELD(int, notReturned, withNotReturned); ///< Used downstream, or lost with an answer.
    FESCUEPOND_FIELD(int, attempts, withAttempts);

public:
    RetryAllowance() = default;
    explicit RetryAllowance(int total);

    /// The state after the first attempt, or a retry, was sent: what is left is delegated, less 1 for a retry.
    RetryAllowance afterSending() const;
    /// The state after the attempt completed and returned `unused` retries.
    RetryAllowance afterCompletion(int unused) const;
    /// Whether another attempt may be sent.
    bool permitsRetry() const;

    friend auto operator<=>(const RetryAllowance &, const RetryAllowance &) = default;

private:
    void assertInvariant() const;
};

} // namespace fescuepond
