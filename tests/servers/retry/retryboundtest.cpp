// The bound on retries in whole call trees: attempts never outnumber calls by more than the allowance of the root
// request, even if answers are lost. The simulated trees use the retry policy and the table of calls in flight.

#include "core/pipeline/callsinflight.h"
#include "servers/retry/retrypolicy.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

namespace fescuepond
{

namespace
{

constexpr Duration AttemptTime = std::chrono::milliseconds(1);
constexpr Duration AmpleTime = std::chrono::seconds(60);

/// A tree of calls in which backend servers fail and answers are lost at random, by a seed.
class FailingTree
{
public:
    FailingTree(int depth, int fanOut, double failureChance, double lossChance, unsigned seed)
        : m_depth(depth)
        , m_fanOut(fanOut)
        , m_failure(failureChance)
        , m_loss(lossChance)
        , m_random(seed)
    {
    }

    /// Makes a call at `level` with an allowance and returns the outcome that its caller gets.
    CallOutcome call(int level, int allowance)
    {
        ++m_calls;
        RetryAllowance state(allowance);
        while (true) {
            state = state.afterSending();
            ++m_attempts;
            const CallOutcome outcome = attempt(level, state.delegated());
            state = state.afterCompletion(outcome.unusedAllowance());
            const auto failed = FailedAttempt()
                                    .withOutcome(outcome)
                                    .withIdempotent(true)
                                    .withAllowance(state)
                                    .withElapsed(AttemptTime)
                                    .withRemaining(AmpleTime);
            if (decideRetry(failed, true) != RetryVerdict::Retry) {
                return outcome.withUnusedAllowance(state.left());
            }
        }
    }

    long calls() const
    {
        return m_calls;
    }
    long attempts() const
    {
        return m_attempts;
    }

private:
    /// One attempt: the backend server makes its calls, then answers or fails; the answer may be lost.
    CallOutcome attempt(int level, int allowance)
    {
        const CallId id = CallId::random();
        m_table.add(CallContext().withCallId(id).withRetryAllowance(allowance));
        bool isChildFailed = false;
        const int children = level < m_depth ? m_fanOut : 0;
        for (int i = 0; i < children; ++i) {
            const CallOutcome child = call(level + 1, m_table.takeAllowance(id));
            m_table.onChildCompleted(id, child);
            isChildFailed = isChildFailed || child.status() != 200;
        }
        const bool hasFailed = isChildFailed || chance(m_failure);
        const CallOutcome answer =
            m_table.remove(id, CallOutcome().withState(CallState::Answered).withStatus(hasFailed ? 500 : 200));
        return chance(m_loss) ? CallOutcome::unknown(Reason::ConnectionLost, "lost") : answer;
    }

    bool chance(double probability)
    {
        return std::uniform_real_distribution<>(0, 1)(m_random) < probability;
    }

    const int m_depth;
    const int m_fanOut;
    const double m_failure;
    const double m_loss;
    std::mt19937 m_random;
    CallsInFlight m_table;
    long m_calls = 0;
    long m_attempts = 0;
};

/// Attempts at the last service of a chain when each hop retries on its own.
double attemptsWithRetriesPerHop(int depth, int retriesPerHop)
{
    double attempts = 1;
    for (int hop = 0; hop < depth; ++hop) {
        attempts *= 1 + retriesPerHop;
    }
    return attempts;
}

} // namespace

TEST(RetryBound, ChainOf27WithEveryServiceFailing)
{
    constexpr int Depth = 27;
    constexpr int Allowance = 3;
    FailingTree chain(Depth, 1, 1.0, 0.0, 1);
    chain.call(1, Allowance);
    EXPECT_LE(chain.attempts(), chain.calls() + Allowance);
    EXPECT_GE(attemptsWithRetriesPerHop(Depth, Allowance), 1e16) << "attempts if each hop retried on its own";
}

TEST(RetryBound, TreeEightDeepWithFanOutTwoAndEveryServiceFailing)
{
    constexpr int Allowance = 3;
    FailingTree tree(8, 2, 1.0, 0.0, 1);
    tree.call(1, Allowance);
    EXPECT_LE(tree.attempts(), tree.calls() + Allowance);
}

RC_GTEST_PROP(RetryBound, AttemptsStayWithinTheRootAllowance, ())
{
    const int allowance = *rc::gen::inRange(0, 11);
    const int depth = *rc::gen::inRange(1, 9);
    const int fanOut = *rc::gen::inRange(1, 3);
    const double failure = *rc::gen::inRange(0, 101) / 100.0;
    const double loss = *rc::gen::inRange(0, 101) / 100.0;
    FailingTree tree(depth, fanOut, failure, loss, *rc::gen::arbitrary<unsigned>());
    const CallOutcome outcome = tree.call(1, allowance);
    RC_ASSERT(tree.attempts() <= tree.calls() + allowance);
    RC_ASSERT(tree.attempts() - tree.calls() + outcome.unusedAllowance() <= allowance);
}

TEST(RetryAllowance, ReturnOfMoreThanWasDelegatedIsIgnored)
{
    const RetryAllowance completed = RetryAllowance(2).afterSending().afterCompletion(100);
    EXPECT_EQ(completed.left(), 2);
}

TEST(RetryAllowance, RetriesThatAreNotReturnedAreSpent)
{
    const RetryAllowance completed = RetryAllowance(2).afterSending().afterCompletion(0);
    EXPECT_EQ(completed.notReturned(), 2);
    EXPECT_FALSE(completed.permitsRetry());
}

} // namespace fescuepond
