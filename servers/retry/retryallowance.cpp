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
    const int price = isRetry ? 1 : 0;
    const int down = m_left - price;
    const RetryAllowance sent = withLeft(0).withGiven(down).withUsed(m_used + price).withAttempts(m_attempts + 1);
    sent.assertInvariant();
    return sent;
}

RetryAllowance RetryAllowance::afterEnding(int unused) const
{
    // A callee that claims to give back more than it got is not believed.
    const int back = std::clamp(unused, 0, m_given);
    const RetryAllowance ended = withLeft(m_left + back).withLost(m_lost + m_given - back).withGiven(0);
    ended.assertInvariant();
    return ended;
}

bool RetryAllowance::permitsRetry() const
{
    return m_given == 0 && m_left > 0;
}

void RetryAllowance::assertInvariant() const
{
    invariant(m_left >= 0 && m_given >= 0, "a retry allowance is never negative");
    invariant(m_left + m_given + m_used + m_lost == m_total, "a retry allowance is neither made nor mislaid");
    invariant(m_attempts <= m_used + 1, "each attempt but the first is paid for");
}

} // namespace fescuepond
