// The retry allowance of one call.

#include "servers/retry/retryallowance.h"

#include "core/kernel/invariant.h"

#include <algorithm>

namespace fescuepond
{

RetryAllowance::RetryAllowance(int total)
    : m_total(std::max(total, 0))
    , m_left(m_total)
{
}

RetryAllowance RetryAllowance::afterSending() const
{
    const bool isRetry = m_attempts > 0;
    const int cost = isRetry ? 1 : 0;
    const int delegated = m_left - cost;
    const RetryAllowance sent =
        withLeft(0).withDelegated(delegated).withUsed(m_used + cost).withAttempts(m_attempts + 1);
    sent.assertInvariant();
    return sent;
}

RetryAllowance RetryAllowance::afterCompletion(int unused) const
{
    // A callee can't return more than was delegated to it.
    const int returned = std::clamp(unused, 0, m_delegated);
    const RetryAllowance completed =
        withLeft(m_left + returned).withNotReturned(m_notReturned + m_delegated - returned).withDelegated(0);
    completed.assertInvariant();
    return completed;
}

bool RetryAllowance::permitsRetry() const
{
    return m_delegated == 0 && m_left > 0;
}

void RetryAllowance::assertInvariant() const
{
    invariant(m_left >= 0 && m_delegated >= 0, "a retry allowance is never negative");
    invariant(m_left + m_delegated + m_used + m_notReturned == m_total,
              "the parts of a retry allowance add up to its total");
    invariant(m_attempts <= m_used + 1, "each attempt but the first uses a retry");
}

} // namespace fescuepond
