// Limits the retries that this node sends to one service.

#include "servers/retry/retrybudget.h"

#include <algorithm>

namespace fescuepond
{

std::int64_t RetryBudget::bucketNumber(const RetryRules &rules, TimePoint now)
{
    return now.time_since_epoch() / (rules.window() / BucketsPerWindow);
}

RetryBudget::Bucket &RetryBudget::bucketAt(std::int64_t number)
{
    Bucket &bucket = m_buckets[static_cast<std::size_t>(number) % BucketCount];
    if (bucket.m_number != number) {
        bucket = Bucket{number, 0, 0};
    }
    return bucket;
}

RetryBudget RetryBudget::afterCall(const RetryRules &rules, TimePoint now) const
{
    RetryBudget next = *this;
    ++next.bucketAt(bucketNumber(rules, now)).m_calls;
    return next;
}

RetryBudget RetryBudget::afterRetry(const RetryRules &rules, TimePoint now) const
{
    RetryBudget next = *this;
    ++next.bucketAt(bucketNumber(rules, now)).m_retries;
    return next;
}

bool RetryBudget::permitsRetry(const RetryRules &rules, TimePoint now) const
{
    const std::int64_t oldest = bucketNumber(rules, now) - BucketsPerWindow;
    double calls = 0;
    double retries = 0;
    for (const Bucket &bucket : m_buckets) {
        // The oldest bucket lies partly before the window: its retries count, its calls don't.
        retries += bucket.m_number >= oldest ? bucket.m_retries : 0;
        calls += bucket.m_number > oldest ? bucket.m_calls : 0;
    }
    const double slack = rules.slack() * SlackRatio / static_cast<double>(std::max<std::size_t>(rules.nodes(), 1));
    return retries + 1 <= calls * rules.ratio() / RetryingLevels + slack;
}

} // namespace fescuepond
