// Tests of AttemptTable, most of them with random sequences of operations in virtual time: an attempt that was reported
// as fenced must never run, and one that has run must never be reported as fenced.

#include "servers/settlement/attempttable.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <vector>

namespace fescuepond
{

namespace
{

constexpr std::size_t AttemptCount = 12;
constexpr Duration Step = std::chrono::milliseconds(100);

const CallOutcome answer = CallOutcome().withState(CallState::Answered).withBody(Body("twelve bytes"));

/// What really happened to an attempt.
struct GroundTruth {
    TimePoint deadline; ///< Exact; the target knows it up to MaxClockError too early.
    bool hasArrived = false;
    bool isWaiting = false;
    bool isRunning = false;
    bool hasRun = false;
    bool wasReportedFenced = false;
};

/// One target and the attempts sent to it. Each operation checks the table's report against the ground truth.
class SimulatedTarget
{
public:
    explicit SimulatedTarget(const AttemptLimits &limits)
        : m_table(limits)
    {
        for (GroundTruth &truth : m_truths) {
            truth.deadline = m_now + Step * *rc::gen::inRange(1, 60);
        }
    }

    void arrive(std::size_t i)
    {
        if (m_truths[i].hasArrived) {
            return;
        }
        m_truths[i].hasArrived = true;
        m_truths[i].isWaiting = m_table.receive(id(i), receivedDeadline(i), m_now).action() == ArrivalAction::Run;
    }
    void begin(std::size_t i)
    {
        if (m_truths[i].isWaiting && !m_truths[i].isRunning && m_table.start(id(i))) {
            RC_ASSERT(!m_truths[i].wasReportedFenced);
            m_truths[i].isRunning = true;
            m_truths[i].hasRun = true;
        }
    }
    void finish(std::size_t i)
    {
        if (!m_truths[i].isWaiting) {
            return;
        }
        const CallOutcome outcome = m_truths[i].isRunning ? answer : CallOutcome::notRun(Reason::Overload, "");
        m_table.finish(id(i), outcome, m_now);
        m_truths[i].isWaiting = false;
        m_truths[i].isRunning = false;
    }
    void settle(std::size_t i)
    {
        checkReport(i, m_table.settle(id(i), receivedDeadline(i), m_now));
    }
    void cancel(std::size_t i)
    {
        checkReport(i, m_table.cancel(id(i), receivedDeadline(i), m_now));
    }
    void wait(std::size_t steps)
    {
        m_now += Step * static_cast<int>(steps);
    }
    const AttemptTable &table() const
    {
        return m_table;
    }

private:
    static AttemptId id(std::size_t i)
    {
        return AttemptId(1, i + 1);
    }
    TimePoint receivedDeadline(std::size_t i) const
    {
        return m_truths[i].deadline - MaxClockError * *rc::gen::inRange(0, 5) / 4;
    }
    void checkReport(std::size_t i, const AttemptReport &report)
    {
        GroundTruth &truth = m_truths[i];
        if (report.status() == AttemptStatus::Fenced) {
            RC_ASSERT(!truth.hasRun);
            truth.wasReportedFenced = true;
        }
        if (report.status() == AttemptStatus::Finished) {
            RC_ASSERT(truth.hasRun == (report.outcome().state() != CallState::NotRun));
        }
        if (report.status() == AttemptStatus::Running) {
            RC_ASSERT(truth.isWaiting);
        }
    }

    TimePoint m_now = ManualClock().now();
    AttemptTable m_table;
    std::array<GroundTruth, AttemptCount> m_truths;
};

using Operation = void (SimulatedTarget::*)(std::size_t);
constexpr std::array<Operation, 8> Operations = {&SimulatedTarget::arrive,
                                                 &SimulatedTarget::arrive,
                                                 &SimulatedTarget::begin,
                                                 &SimulatedTarget::begin,
                                                 &SimulatedTarget::finish,
                                                 &SimulatedTarget::settle,
                                                 &SimulatedTarget::cancel,
                                                 &SimulatedTarget::wait};

void runRandomly(const AttemptLimits &limits)
{
    SimulatedTarget simulated(limits);
    const int steps = *rc::gen::inRange(1, 200);
    for (int step = 0; step < steps; ++step) {
        const Operation operation = Operations.at(*rc::gen::inRange<std::size_t>(0, Operations.size()));
        (simulated.*operation)(*rc::gen::inRange<std::size_t>(0, AttemptCount));
        RC_ASSERT(simulated.table().size() <= AttemptCount);
    }
}

const TimePoint start = ManualClock().now();
const AttemptId attempt(1, 1);

TimePoint after(int milliseconds)
{
    return start + std::chrono::milliseconds(milliseconds);
}

} // namespace

RC_GTEST_PROP(AttemptTableProperty, NoAttemptRunsAfterItWasReportedFencedOrIsFencedAfterItRan, ())
{
    runRandomly(AttemptLimits::standard());
}

RC_GTEST_PROP(AttemptTableProperty, FullTableKeepsTheFencingGuarantee, ())
{
    runRandomly(AttemptLimits().withMaxFences(9).withMaxFinished(1).withMaxOutcomeBytes(30).withOutcomeRetention(
        std::chrono::seconds(1)));
}

TEST(AttemptTable, FenceHoldsUntilTheDeadlineRejectsTheAttempt)
{
    AttemptTable table;
    EXPECT_EQ(table.settle(attempt, after(1000), after(0)).status(), AttemptStatus::Fenced);
    for (const int now : {1, 999, 1999, 2000, 60'000}) {
        EXPECT_EQ(table.receive(attempt, after(2000), after(now)).action(), ArrivalAction::Reject) << now;
    }
    EXPECT_EQ(table.size(), 0);
}

TEST(AttemptTable, FullTableReportsForgotten)
{
    AttemptTable fullOfFences(AttemptLimits::standard().withMaxFences(1));
    EXPECT_EQ(fullOfFences.settle(AttemptId(1, 1), after(9000), after(0)).status(), AttemptStatus::Fenced);
    EXPECT_EQ(fullOfFences.settle(AttemptId(1, 2), after(9000), after(0)).status(), AttemptStatus::Forgotten);

    AttemptTable fullOfFinished(AttemptLimits::standard().withMaxFinished(0));
    fullOfFinished.receive(attempt, after(5000), after(0));
    EXPECT_TRUE(fullOfFinished.start(attempt));
    fullOfFinished.finish(attempt, answer, after(10));
    EXPECT_EQ(fullOfFinished.settle(attempt, after(5000), after(20)).status(), AttemptStatus::Forgotten);
    EXPECT_EQ(fullOfFinished.settle(attempt, after(5999), after(20)).status(), AttemptStatus::Forgotten);
}

TEST(AttemptTable, CopyOfAnAttemptNeverRuns)
{
    AttemptTable table;
    EXPECT_EQ(table.receive(attempt, after(1000), after(0)).action(), ArrivalAction::Run);
    EXPECT_EQ(table.receive(attempt, after(1000), after(1)).action(), ArrivalAction::Join);
    EXPECT_TRUE(table.start(attempt));
    EXPECT_FALSE(table.start(attempt));
    table.finish(attempt, answer, after(2));
    EXPECT_EQ(table.receive(attempt, after(1000), after(3)).outcome(), answer);
}

TEST(AttemptTable, CancelledAttemptNeverRunsIfWaitingAndFinishesIfRunning)
{
    AttemptTable table;
    table.receive(attempt, after(1000), after(0));
    EXPECT_EQ(table.cancel(attempt, after(1000), after(1)).status(), AttemptStatus::Fenced);
    EXPECT_FALSE(table.start(attempt));
    table.finish(attempt, CallOutcome::notRun(Reason::Cancelled, ""), after(2));

    const AttemptId running(1, 2);
    table.receive(running, after(1000), after(0));
    EXPECT_TRUE(table.start(running));
    EXPECT_EQ(table.cancel(running, after(1000), after(1)).status(), AttemptStatus::Running);
    table.finish(running, answer, after(2));
    EXPECT_EQ(table.settle(running, after(1000), after(3)).outcome(), answer);
}

TEST(AttemptTable, BodiesOfAnswersAreBounded)
{
    AttemptTable table(AttemptLimits::standard().withMaxOutcomeBytes(2 * answer.body().size()));
    for (std::uint64_t i = 1; i <= 5; ++i) {
        table.receive(AttemptId(1, i), after(1000), after(0));
        table.start(AttemptId(1, i));
        table.finish(AttemptId(1, i), answer, after(1));
    }
    EXPECT_LE(table.outcomeBytes(), 2 * answer.body().size());
    EXPECT_EQ(table.settle(AttemptId(1, 1), after(1000), after(2)).outcome().state(), CallState::OutcomeUnknown);
    EXPECT_EQ(table.settle(AttemptId(1, 5), after(1000), after(2)).outcome(), answer);
}

TEST(AttemptTableDeathTest, OutcomeOfAFencedAttemptThatRanAborts)
{
    GTEST_FLAG_SET(death_test_style, "threadsafe");
    AttemptTable table;
    table.receive(attempt, after(1000), after(0));
    table.cancel(attempt, after(1000), after(1));
    EXPECT_DEATH(table.finish(attempt, answer, after(2)), "a fenced attempt never runs");
}

} // namespace fescuepond
