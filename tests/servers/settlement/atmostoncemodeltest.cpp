// Model test in virtual time of the rule that a non-idempotent call runs at most once. The production decisions of
// sender and target run while messages are delayed or lost and targets crash, freeze and restart.

#include "servers/retry/retrypolicy.h"
#include "servers/settlement/attempttable.h"
#include "servers/settlement/settlementpolicy.h"

#include <gtest/gtest.h>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace fescuepond
{

namespace
{

using std::chrono::milliseconds;

constexpr int Calls = 300; ///< Per run, spread over ten seconds.
constexpr std::size_t Targets = 3;
constexpr int MaxRetries = 2; ///< Retry allowance of a call.
constexpr Duration CallDeadline = milliseconds(1500);
/// Per message. Some messages arrive after their receiver has stopped waiting for them.
constexpr double LossProbability = 0.08;
constexpr double LateProbability = 0.1;
constexpr Duration MaxDelay = milliseconds(2500);

/// Queue of events in virtual time.
class EventQueue
{
public:
    TimePoint now() const
    {
        return m_now;
    }
    void after(Duration delay, std::function<void()> event)
    {
        m_events.emplace(m_now + delay, std::move(event));
    }
    void run()
    {
        while (!m_events.empty()) {
            const auto next = m_events.extract(m_events.begin());
            m_now = std::max(m_now, next.key());
            next.mapped()();
        }
    }

private:
    TimePoint m_now{std::chrono::hours(1)};
    std::multimap<TimePoint, std::function<void()>> m_events;
};

struct Target {
    int incarnation = 0;
    TimePoint frozenUntil{};
    std::unique_ptr<AttemptTable> table = std::make_unique<AttemptTable>();
};

/// What really happened to a call.
struct GroundTruth {
    int runs = 0;
    std::optional<CallOutcome> reported; ///< The outcome that its caller received.
};

/// The sender's state of a call that has no final outcome.
struct SentCall {
    std::size_t number;
    CallContext context;
    RetryAllowance allowance{MaxRetries};
    std::size_t target = 0;
    int incarnation = 0; ///< Of the target when the attempt was sent.
    TimePoint sentAt{};
    int failures = 0;
    int attempt = 0; ///< Number of the current attempt. Events of earlier ones are ignored.
};

using SentCallPtr = std::shared_ptr<SentCall>;

class Fleet
{
public:
    explicit Fleet(unsigned seed)
        : m_random(seed)
    {
    }

    void run()
    {
        for (int i = 0; i < Calls; ++i) {
            m_time.after(randomDelay(std::chrono::seconds(10)), [this, i] {
                const auto call = std::make_shared<SentCall>();
                call->number = static_cast<std::size_t>(i);
                call->context = CallContext().withDeadline(m_time.now() + CallDeadline).withIdempotent(false);
                sendTo(call, randomTarget());
            });
        }
        for (int i = 0; i < 25; ++i) {
            m_time.after(randomDelay(std::chrono::seconds(11)), [this] {
                injectFault(m_targets[randomTarget()]);
            });
        }
        m_time.run();
    }

    const std::array<GroundTruth, Calls> &truths() const
    {
        return m_truths;
    }

private:
    Duration randomDelay(Duration longest)
    {
        return std::chrono::duration_cast<Duration>(longest * m_fraction(m_random));
    }
    std::size_t randomTarget()
    {
        return m_random() % Targets;
    }

    void injectFault(Target &target)
    {
        if (m_random() % 2 == 0) {
            // A restart: calls at the backend server continue to run, the attempt table is lost.
            ++target.incarnation;
            target.table = std::make_unique<AttemptTable>();
            target.frozenUntil = {};
        } else {
            target.frozenUntil = m_time.now() + randomDelay(std::chrono::seconds(2));
        }
    }

    /// Delivers a message to one incarnation of a target, unless it is lost. A frozen target handles it when it
    /// resumes.
    void deliver(std::size_t target, int incarnation, std::function<void(Target &)> message)
    {
        if (m_fraction(m_random) < LossProbability) {
            return;
        }
        const bool isLate = m_fraction(m_random) < LateProbability;
        m_time.after(randomDelay(isLate ? MaxDelay : Duration(milliseconds(10))),
                     [this, target, incarnation, message = std::move(message)] {
                         receive(target, incarnation, message);
                     });
    }
    void receive(std::size_t index, int incarnation, const std::function<void(Target &)> &message)
    {
        Target &target = m_targets[index];
        if (target.incarnation != incarnation) {
            return; // The connection was lost with the process.
        }
        if (target.frozenUntil > m_time.now()) {
            m_time.after(target.frozenUntil - m_time.now(), [this, index, incarnation, message] {
                receive(index, incarnation, message);
            });
            return;
        }
        message(target);
    }

    void sendTo(const SentCallPtr &call, std::size_t target)
    {
        ++call->attempt;
        call->target = target;
        call->incarnation = m_targets[target].incarnation;
        call->sentAt = m_time.now();
        call->failures = 0;
        call->allowance = call->allowance.afterSending();
        call->context = call->context.withAttemptId(AttemptId(++m_lastId, 1));
        deliver(target, call->incarnation, [this, call, context = call->context, number = call->attempt](Target &here) {
            handleAtTarget(here, call, context, number);
        });
        // The sender loses the connection after a random time, whatever the state of the call.
        m_time.after(milliseconds(200) + randomDelay(milliseconds(600)), [this, call, number = call->attempt] {
            if (isPending(call, number)) {
                settle(call, number);
            }
        });
        m_time.after(std::max(Duration::zero(), call->context.deadline() - m_time.now()),
                     [this, call, number = call->attempt] {
                         finishAttempt(call, number, CallOutcome::unknown(Reason::DeadlineExceeded, ""));
                     });
    }

    void handleAtTarget(Target &target, const SentCallPtr &call, const CallContext &context, int number)
    {
        // The target knows the deadline too early by the clock error, never too late.
        const TimePoint deadline = context.deadline() - randomDelay(MaxClockError);
        const ArrivalDecision decision = target.table->receive(context.attemptId(), deadline, m_time.now());
        if (decision.action() == ArrivalAction::Reject) {
            reply(call, number, decision.outcome());
        }
        if (decision.action() != ArrivalAction::Run) {
            return;
        }
        const auto index = static_cast<std::size_t>(&target - m_targets.data());
        const int incarnation = target.incarnation;
        m_time.after(randomDelay(milliseconds(300)), [this, index, incarnation, call, context, number] {
            receive(index, incarnation, [this, index, incarnation, call, context, number](Target &here) {
                if (!here.table->start(context.attemptId())) {
                    here.table->finish(context.attemptId(), CallOutcome::notRun(Reason::Cancelled, ""), m_time.now());
                    return;
                }
                ++m_truths[call->number].runs;
                m_time.after(randomDelay(milliseconds(400)), [this, index, incarnation, call, context, number] {
                    receive(index, incarnation, [this, call, context, number](Target &later) {
                        const CallOutcome answer = CallOutcome().withState(CallState::Answered).withStatus(200);
                        later.table->finish(context.attemptId(), answer, m_time.now());
                        reply(call, number, answer);
                    });
                });
            });
        });
    }

    void reply(const SentCallPtr &call, int number, const CallOutcome &outcome)
    {
        if (m_fraction(m_random) < LossProbability) {
            return;
        }
        m_time.after(randomDelay(milliseconds(10)), [this, call, number, outcome] {
            finishAttempt(call, number, outcome);
        });
    }

    /// The sender asks the target for the attempt's outcome.
    void settle(const SentCallPtr &call, int number)
    {
        const Target &target = m_targets[call->target];
        if (target.incarnation != call->incarnation) {
            finishAttempt(call, number, CallOutcome::unknown(Reason::ConnectionLost, ""));
            return;
        }
        deliver(call->target, call->incarnation, [this, call, number, context = call->context](Target &here) {
            const TimePoint deadline = context.deadline() - randomDelay(MaxClockError);
            const AttemptReport report = here.table->settle(context.attemptId(), deadline, m_time.now());
            const auto outcome = outcomeFromReport(report, context);
            m_time.after(randomDelay(milliseconds(10)), [this, call, number, outcome] {
                if (outcome) {
                    finishAttempt(call, number, *outcome);
                } else if (isPending(call, number)) {
                    retrySettle(call, number);
                }
            });
        });
        // The request or its reply may be lost.
        m_time.after(milliseconds(100), [this, call, number] {
            if (isPending(call, number)) {
                retrySettle(call, number);
            }
        });
    }
    void retrySettle(const SentCallPtr &call, int number)
    {
        ++call->failures;
        const auto pause = settlementRetryDelay(call->context, call->failures, m_time.now());
        if (!pause) {
            finishAttempt(call, number, CallOutcome::unknown(Reason::ConnectionLost, ""));
            return;
        }
        m_time.after(*pause, [this, call, number] {
            if (isPending(call, number)) {
                settle(call, number);
            }
        });
    }

    bool isPending(const SentCallPtr &call, int number) const
    {
        return call->attempt == number && !m_truths[call->number].reported;
    }

    /// Handles the outcome of an attempt at its sender: retries the call or returns the outcome to the caller.
    void finishAttempt(const SentCallPtr &call, int number, const CallOutcome &outcome)
    {
        if (!isPending(call, number)) {
            return;
        }
        const bool isNotRun = outcome.state() == CallState::NotRun;
        call->allowance =
            call->allowance.afterCompletion(isNotRun ? call->allowance.delegated() : outcome.unusedAllowance());
        const auto attempt = FailedAttempt()
                                 .withOutcome(outcome)
                                 .withIdempotent(false)
                                 .withAllowance(call->allowance)
                                 .withElapsed(m_time.now() - call->sentAt)
                                 .withRemaining(call->context.deadline() - m_time.now());
        if (decideRetry(attempt, true) == RetryVerdict::Retry) {
            sendTo(call, (call->target + 1) % Targets);
            return;
        }
        m_truths[call->number].reported = outcome;
    }

    EventQueue m_time;
    std::mt19937 m_random;
    std::uniform_real_distribution<double> m_fraction;
    std::array<Target, Targets> m_targets;
    std::array<GroundTruth, Calls> m_truths;
    std::uint64_t m_lastId = 0;
};

} // namespace

TEST(AtMostOnceModel, NoCallRunsTwiceOrAfterItWasReportedNotRun)
{
    std::map<CallState, int> reported;
    for (unsigned seed = 1; seed <= 200; ++seed) {
        Fleet fleet(seed);
        fleet.run();
        for (const GroundTruth &truth : fleet.truths()) {
            ASSERT_TRUE(truth.reported) << "a call was never answered, seed " << seed;
            ASSERT_LE(truth.runs, 1) << "seed " << seed;
            ASSERT_TRUE(truth.reported->state() != CallState::NotRun || truth.runs == 0) << "seed " << seed;
            ASSERT_TRUE(truth.reported->state() != CallState::Answered || truth.runs == 1) << "seed " << seed;
            ++reported[truth.reported->state()];
        }
    }
    // All three outcomes must occur often enough, or the model would prove nothing.
    EXPECT_GT(reported[CallState::Answered], 10'000);
    EXPECT_GT(reported[CallState::NotRun], 50);
    EXPECT_GT(reported[CallState::OutcomeUnknown], 1'000);
}

} // namespace fescuepond
