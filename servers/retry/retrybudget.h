// Limits the retries that this node sends to one service, so that the whole fleet keeps to a ratio of retries to calls.
//
// The ratio holds in any time span of the window's length, over all nodes, and includes the calls that a retry causes
// again further downstream. Nodes learn of each other's retries too late, so each node keeps to its own share: the
// ratio of the calls that it made itself, divided by the levels of a call tree whose retries may add up, and an equal
// share of the slack.

#pragma once

#include "core/kernel/clock.h"
#include "core/value.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>

namespace fescuepond
{

/// Limits of the fleet, from the settings.
class RetryRules
{
    FESCUEPOND_FIELD(double, ratio, withRatio); ///< Retries for each call.
    FESCUEPOND_FIELD(double, slack, withSlack); ///< Retries beyond the ratio, in one window.
    FESCUEPOND_FIELD(std::size_t, nodes, withNodes); ///< Nodes of the fleet; at least 1.
    FESCUEPOND_FIELD(Duration, window, withWindow); ///< Length of the sliding window in which the ratio holds.

public:
    friend auto operator<=>(const RetryRules &, const RetryRules &) = default;
};

/// Levels of a call tree whose retries may add up: each level keeps to the ratio divided by this number.
constexpr double RetryingLevels = 4;
/// Fraction of the slack that is used. A retry near the root of a call tree repeats several calls near its leaves.
constexpr double SlackRatio = 1.0 / 6;

/// Calls and retries of one node to one service, counted in time buckets.
class RetryBudget
{
public:
    RetryBudget afterCall(const RetryRules &rules, TimePoint now) const;
    RetryBudget afterRetry(const RetryRules &rules, TimePoint now) const;
    bool permitsRetry(const RetryRules &rules, TimePoint now) const;
    friend auto operator<=>(const RetryBudget &, const RetryBudget &) = default;

private:
    static constexpr int BucketsPerWindow = 10;
    /// One more than a window has, as a window usually begins within a bucket.
    static constexpr std::size_t BucketCount = BucketsPerWindow + 1;
    struct Bucket {
        std::int64_t m_number = -1; ///< Index of its time span; a bucket of an earlier window is ignored.
        std::uint32_t m_calls = 0;
        std::uint32_t m_retries = 0;
        friend auto operator<=>(const Bucket &, const Bucket &) = default;
    };

    static std::int64_t bucketNumber(const RetryRules &rules, TimePoint now);
    Bucket &bucketAt(std::int64_t number);

    std::array<Bucket, BucketCount> m_buckets{};
};

} // namespace fescuepond
