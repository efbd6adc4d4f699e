// The retry allowance of one call: how many retries are left to it and to everything that it calls.
//
// A root request gets one allowance. It goes down with each attempt as a whole and what was not used comes back with
// the answer; when an answer is lost, what was given with it counts as spent. So the attempts of a whole call tree
// never outnumber its calls by more than the root's allowance.

#pragma once

#include "core/value.h"

#include <compare>

namespace fescuepond
{

/// The state between the attempts of one call. Invariant: left + given + used + lost is the allowance of the call, and
/// attempts is at most one more than used.
class RetryAllowance
{
    FESCUEPOND_FIELD(int, total, withTotal);
    FESCUEPOND_FIELD(int, left, withLeft);
    FESCUEPOND_FIELD(int, delegated, withDelegated); ///< Gone down with the attempt that runs.
    FESCUEPOND_FIELD(int, used, withUsed); ///< Retries of this call itself.
    FESCUEPOND_FIELD(int, notReturned, withNotReturned); ///< Used further down, or not accounted for.
    FESCUEPOND_FIELD(int, attempts, withAttempts);

public:
    RetryAllowance() = default;
    explicit RetryAllowance(int total);

    /// The state after the first attempt, or a retry, was sent with everything that is left.
    RetryAllowance afterSending() const;
    /// The state after the attempt ended and said that `unused` came back.
    RetryAllowance afterCompletion(int unused) const;
    /// Whether one more attempt may be sent.
    bool permitsRetry() const;

    friend auto operator<=>(const RetryAllowance &, const RetryAllowance &) = default;

private:
    void assertInvariant() const;
};

} // namespace fescuepond
