// How many repeated calls to one service this node may send, so that the whole fleet keeps to a ratio.
//
// The ratio holds for any span of the window's length, over all nodes, and counts what a repeat repeats further down as
// well. No node sees the others' repeats in time, so each keeps to its own part: the ratio of the calls that it made
// itself, divided by the levels of a call tree at which repeats may add up, and an equal part of the slack.

#pragma once

#include "core/kernel/clock.h"
#include "core/value.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>

namespace fescuepond
{

/// What the fleet may send, from the settings.
class RetryRules
{
    FESCUEPOND_FIELD(double, ratio, withRatio); ///< Repeats as a part of the calls.
    FESCUEPOND_FIELD(double, slack, withSlack); ///< Repeats beyond that part, in one window.
    FESCUEPOND_FIELD(std::size_t, nodes, withNodes); ///< Nodes of the fleet; at least 1.
    FESCUEPOND_FIELD(Duration, window, withWindow); ///< Any span over which the ratio holds.

public:
    friend auto operator<=>(const RetryRules &, const RetryRules &) = default;
};

/// Levels of a call tree at which repeats may add up: each level keeps to this part of the ratio.
constexpr double RetryingLevels = 4;
/// Part of the slack that is used. A repeat at the top of a tree repeats several calls at its bottom.
constexpr double SlackRatio = 1.0 / 6;

/// Calls and repeats of one node to one service.
class RetryBudget
{
public:
    RetryBudget afterCall(const RetryRules &rules, TimePoint now) const;
    RetryBudget afterRetry(const RetryRules &rules, TimePoint now) const;
    bool permitsRetry(const RetryRules &rules, TimePoint now) const;
    friend auto operator<=>(const RetryBudget &, const RetryBudget &) = default;

private:
    static constexpr int BucketsPerWindow = 10;
    /// One more than a window has, so that the sum never leaves out a part of the span.
    static constexpr std::size_t BucketCount = BucketsPerWindow + 1;
    struct Bucket {
        std::int64_t m_number = -1; ///< Of its part of the time; a slot whose part is past counts nothing.
        std::uint32_t m_calls = 0;
        std::uint32_t m_retries = 0;
        friend auto operator<=>(const Bucket &, const Bucket &) = default;
    };

    static std::int64_t bucketNumber(const RetryRules &rules, TimePoint now);
    Bucket &bucketAt(std::int64_t number);

    std::array<Bucket, BucketCount> m_buckets{};
};

} // namespace fescuepond
