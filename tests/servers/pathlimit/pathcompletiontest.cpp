// How an entry node limits a path whose requests hardly ever end well. Guards against a fleet that spends its processor
// time on chains of calls that can't succeed.

#include "servers/pathlimit/pathcompletion.h"

#include <gtest/gtest.h>

#include <limits>
#include <random>

namespace fescuepond
{

namespace
{

CallOutcome answered(int status)
{
    return CallOutcome().withState(CallState::Answered).withStatus(status);
}

constexpr TimePoint Start{std::chrono::hours(1)};

/// One entry node whose admitted requests complete with a fixed probability; fourteen arrive a second.
class Path
{
public:
    explicit Path(std::uint64_t seed)
        : m_random(seed)
    {
    }
    /// Offers `count` requests and returns the fraction that is admitted.
    double admitted(int count, double completionProbability)
    {
        int admitted = 0;
        for (int i = 0; i < count; ++i) {
            m_now += std::chrono::milliseconds(71);
            if (!m_completion.admits(m_random(), m_now)) {
                continue;
            }
            ++admitted;
            const bool isCompleted = std::bernoulli_distribution(completionProbability)(m_random);
            m_completion.ended(isCompleted ? PathEnd::Completed : PathEnd::Wasted, m_now);
        }
        return static_cast<double>(admitted) / count;
    }

private:
    std::mt19937_64 m_random;
    TimePoint m_now = Start;
    PathCompletion m_completion;
};

} // namespace

TEST(PathCompletion, ChainsThatCanNotSucceedAreNotBegun)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        Path path(seed);
        path.admitted(40, 0);
        // Five calls in turn of which each is rejected with a probability of 0.55.
        EXPECT_LT(path.admitted(4000, 0.45 * 0.45 * 0.45 * 0.45 * 0.45), 0.2) << seed;
    }
}

TEST(PathCompletion, PathsOfWhichAThirdCompletesAreNotLimited)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        Path path(seed);
        EXPECT_GT(path.admitted(4000, 1.0 / 3), 0.95) << seed;
        EXPECT_EQ(Path(seed).admitted(4000, 0.9), 1) << seed;
    }
}

TEST(PathCompletion, PathThatHasRecoveredIsAdmittedAgainAfterTwoCompletions)
{
    PathCompletion completion;
    for (int i = 0; i < 1000; ++i) {
        completion.ended(PathEnd::Wasted, Start);
    }
    EXPECT_TRUE(completion.admits(std::uint64_t(1) << 60, Start));
    EXPECT_FALSE(completion.admits(std::uint64_t(1) << 63, Start));
    EXPECT_GT(completion.retryAfter(Start), Duration::zero());
    completion.ended(PathEnd::Completed, Start);
    completion.ended(PathEnd::Completed, Start);
    EXPECT_EQ(completion.share(Start), 1);
    EXPECT_EQ(completion.retryAfter(Start), Duration::zero());
}

TEST(PathCompletion, PathWithFewRequestsIsTriedAgainInTime)
{
    PathCompletion completion;
    for (int i = 0; i < 1000; ++i) {
        completion.ended(PathEnd::Wasted, Start);
    }
    constexpr std::uint64_t LeastImportant = std::numeric_limits<std::uint64_t>::max();
    EXPECT_TRUE(completion.admits(LeastImportant, Start + PathCompletion::ProbeInterval));
    EXPECT_FALSE(completion.admits(LeastImportant, Start + PathCompletion::ProbeInterval * 3 / 2));
    EXPECT_TRUE(completion.admits(LeastImportant, Start + PathCompletion::ProbeInterval * 2));
    // After a quiet time, all are admitted.
    EXPECT_EQ(completion.share(Start + std::chrono::seconds(10)), 1);
}

TEST(PathCompletion, OnlyWorkThatWasLostCounts)
{
    EXPECT_EQ(pathEndOf(answered(200)), PathEnd::Completed);
    EXPECT_EQ(pathEndOf(answered(404)), PathEnd::Completed);
    EXPECT_EQ(pathEndOf(answered(500)), PathEnd::Wasted);
    EXPECT_EQ(pathEndOf(CallOutcome::unknown(Reason::DeadlineExceeded, "")), PathEnd::Inconclusive);
    EXPECT_EQ(pathEndOf(CallOutcome::notRun(Reason::BackendBusy, "")), PathEnd::Inconclusive);
    PathCompletion completion;
    for (int i = 0; i < 1000; ++i) {
        completion.ended(PathEnd::Inconclusive, Start);
    }
    EXPECT_EQ(completion.share(Start), 1);
}

} // namespace fescuepond
