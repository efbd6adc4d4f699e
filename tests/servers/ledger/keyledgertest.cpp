// Tests of a single ledger, and a model test of several owners in virtual time with random crashes, transfers, delays
// and lost messages: a key must never be started twice unless the first start was proved not to have run.

#include "servers/ledger/keyledger.h"
#include "servers/ledger/binding.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <random>

namespace fescuepond
{

namespace
{

constexpr auto Second = std::chrono::seconds(1);
constexpr auto Lifetime = 60 * Second;
constexpr Incarnation Owner(1, 1);
constexpr Fingerprint Digest(7, 7);

LedgerLimits smallLimits()
{
    return LedgerLimits().withMaxRecords(4).withMaxAnswerBytes(100).withMaxAnswerBytesEach(60).withLifetime(Lifetime);
}

bool noneInFlight(const CallId &)
{
    return false;
}

CallOutcome answered(std::size_t bytes = 1)
{
    return CallOutcome().withState(CallState::Answered).withStatus(200).withBody(Body(std::string(bytes, 'x')));
}

} // namespace

class KeyLedgerTest : public testing::Test
{
protected:
    SubmissionDecision submit(KeySerial serial, const std::string &derivedName = {})
    {
        return m_ledger.submit(serial, Digest, derivedName, m_clock.now() + Second, m_clock.now());
    }
    /// Issues a new key, starts it and finishes it.
    KeySerial run(std::size_t bytes = 1)
    {
        const KeySerial serial = m_ledger.issueSerial();
        EXPECT_EQ(submit(serial).verdict(), SubmissionVerdict::Start);
        m_ledger.finish(serial, answered(bytes), m_clock.now());
        return serial;
    }

    ManualClock m_clock;
    KeyLedger m_ledger{Owner, smallLimits(), noneInFlight, m_clock.now()};
};

TEST_F(KeyLedgerTest, StartsOnceThenWaitsThenAnswers)
{
    const KeySerial serial = m_ledger.issueSerial();
    EXPECT_EQ(submit(serial).verdict(), SubmissionVerdict::Start);
    EXPECT_EQ(submit(serial).verdict(), SubmissionVerdict::Wait);
    m_ledger.finish(serial, answered(), m_clock.now());
    EXPECT_EQ(submit(serial).outcome(), answered());
}

TEST_F(KeyLedgerTest, StartsAgainOnlyAfterAnOutcomeNotRun)
{
    const KeySerial serial = m_ledger.issueSerial();
    submit(serial);
    m_ledger.finish(serial, CallOutcome::notRun(Reason::Overload, ""), m_clock.now());
    EXPECT_EQ(submit(serial).verdict(), SubmissionVerdict::Start);
    m_ledger.finish(serial, CallOutcome::unknown(Reason::BackendLost, ""), m_clock.now());
    EXPECT_EQ(submit(serial).outcome().state(), CallState::OutcomeUnknown);
}

TEST_F(KeyLedgerTest, RejectsUnissuedSerialsAndExpiredDeadlines)
{
    EXPECT_EQ(submit(99).outcome().reason(), Reason::BadRequest);
    const auto late = m_ledger.submit(m_ledger.issueSerial(), Digest, {}, m_clock.now(), m_clock.now());
    EXPECT_EQ(late.outcome().reason(), Reason::DeadlineExceeded);
    EXPECT_EQ(late.outcome().state(), CallState::NotRun);
}

TEST_F(KeyLedgerTest, EvictedAndExpiredKeysAreTooOldAndNeverRun)
{
    const KeySerial unused = m_ledger.issueSerial();
    const KeySerial first = run();
    for (int i = 0; i < 4; ++i) {
        run();
    }
    EXPECT_EQ(m_ledger.size(), 4);
    EXPECT_EQ(submit(first).outcome().reason(), Reason::KeyTooOld);
    EXPECT_EQ(submit(unused).outcome().reason(), Reason::KeyTooOld);

    const KeySerial idle = m_ledger.issueSerial();
    m_ledger.expire(m_clock.now());
    m_clock.advance(61 * Second);
    m_ledger.expire(m_clock.now());
    EXPECT_EQ(m_ledger.size(), 0);
    EXPECT_EQ(submit(idle).outcome().reason(), Reason::KeyTooOld);
    EXPECT_EQ(submit(idle).outcome().state(), CallState::OutcomeUnknown);
}

TEST_F(KeyLedgerTest, StoredAnswersAreBounded)
{
    const KeySerial tooLong = run(61);
    EXPECT_EQ(submit(tooLong).outcome().reason(), Reason::KeyTooOld);
    run(60);
    run(60);
    run(60);
    EXPECT_LE(m_ledger.answerBytes(), 160);
}

TEST_F(KeyLedgerTest, AFullLedgerOfRunningKeysRejectsAsNotRun)
{
    for (int i = 0; i < 4; ++i) {
        submit(m_ledger.issueSerial());
    }
    EXPECT_EQ(submit(m_ledger.issueSerial()).outcome().reason(), Reason::Overload);
    EXPECT_EQ(m_ledger.running(), 4);
}

TEST_F(KeyLedgerTest, AChildCallsRecordIsKeptWhileItsParentRuns)
{
    bool isParentRunning = true;
    m_ledger = KeyLedger(
        Owner,
        smallLimits(),
        [&](const CallId &) {
            return isParentRunning;
        },
        m_clock.now());
    const CallContext parent = CallContext().withCallId(CallId(3, 4)).withKey("parent");
    const std::string name = keyOfChild(parent, CallRequest().withPath("/pour"), {}).text();
    EXPECT_EQ(parentOfChildKey(name), parent.callId());
    const KeySerial child = m_ledger.serialOfChild(name);
    EXPECT_EQ(submit(child, name).verdict(), SubmissionVerdict::Start);
    m_ledger.finish(child, answered(), m_clock.now());
    for (int i = 0; i < 10; ++i) {
        run();
    }
    EXPECT_EQ(m_ledger.serialOfChild(name), child);
    EXPECT_EQ(submit(child, name).outcome(), answered());

    isParentRunning = false;
    for (int i = 0; i < 10; ++i) {
        run();
    }
    const auto late = submit(m_ledger.serialOfChild(name), name);
    EXPECT_EQ(late.outcome().state(), CallState::NotRun);
    EXPECT_EQ(late.outcome().reason(), Reason::Cancelled);
}

TEST_F(KeyLedgerTest, DetectsInconsistentSnapshots)
{
    const KeyRecord finished = KeyRecord().withSerial(1).withState(KeyState::Finished);
    const LedgerSnapshot good = LedgerSnapshot().withNextSerial(2).withRecords({finished});
    EXPECT_TRUE(good.isConsistent());
    EXPECT_FALSE(good.withNextSerial(1).isConsistent());
    EXPECT_FALSE(good.withRecords({finished, finished}).isConsistent());
    EXPECT_FALSE(good.withRecords({finished.withState(KeyState::Running)}).isConsistent());
}

TEST(Ticket, RoundTripsThroughText)
{
    const Ticket ticket = Ticket()
                              .withLocation(KeyLocation().withOwner(Incarnation(1, 2)).withSerial(255))
                              .withAddress("10.1.2.3:4000")
                              .withNodeName("yard.a");
    EXPECT_EQ(Ticket::parse(ticket.toString()), ticket);
    EXPECT_FALSE(Ticket::parse("nonsense"));
    EXPECT_FALSE(Ticket::parse(ticket.toString().substr(1)));
}

namespace
{

constexpr int Nodes = 4;
constexpr int Keys = 6;
constexpr auto MaxDelay = std::chrono::milliseconds(800);
constexpr auto CallTime = std::chrono::seconds(2);

enum class StepKind {
    Submit,
    Crash,
    Transfer,
    PlatformDown,
    PlatformUp,
    Wait,
};

struct Step {
    StepKind kind;
    int key;
    int node;
    friend std::ostream &operator<<(std::ostream &out, const Step &step)
    {
        return out << static_cast<int>(step.kind) << ':' << step.key << '@' << step.node;
    }
};

/// A fleet of ledger owners in virtual time. Messages are delayed at random or lost; writes at the platform take effect
/// late, or without a reply.
class SimulatedFleet
{
public:
    explicit SimulatedFleet(unsigned seed)
        : m_random(seed)
    {
        for (int node = 0; node < Nodes; ++node) {
            m_nodes.push_back({});
            restart(node);
        }
    }

    void apply(const Step &step)
    {
        static constexpr std::array<void (SimulatedFleet::*)(const Step &), 6> Actions = {
            &SimulatedFleet::submit,
            &SimulatedFleet::crash,
            &SimulatedFleet::transferLedgers,
            &SimulatedFleet::platformDown,
            &SimulatedFleet::platformUp,
            &SimulatedFleet::wait};
        (this->*Actions.at(static_cast<std::size_t>(step.kind)))(step);
    }
    /// Runs all events that are still scheduled.
    void runToCompletion()
    {
        runUntil(TimePoint::max());
    }

    int submissions() const
    {
        return m_submissions;
    }
    int outcomes() const
    {
        return m_outcomes;
    }

private:
    using Outcome = std::function<void(const CallOutcome &)>;
    using Task = std::function<void()>;
    struct Node {
        Incarnation m_incarnation;
        std::map<Incarnation, KeyLedger> m_ledgers; ///< Its own, and those transferred to it.
        std::map<KeyLocation, std::vector<Outcome>> m_waiters;
    };
    struct Submission {
        int m_key;
        Outcome m_done;
        TimePoint m_deadline;
    };

    bool chance(double probability)
    {
        return std::bernoulli_distribution(probability)(m_random);
    }
    void schedule(Task task)
    {
        const auto delay = std::uniform_int_distribution<Duration::rep>(0, Duration(MaxDelay).count())(m_random);
        m_tasks.emplace(m_clock.now() + Duration(delay), std::move(task));
    }
    void runUntil(TimePoint end)
    {
        while (!m_tasks.empty() && m_tasks.begin()->first <= end) {
            const auto next = m_tasks.extract(m_tasks.begin());
            m_clock.advance(std::max(next.key() - m_clock.now(), Duration::zero()));
            next.mapped()();
        }
    }

    void restart(int node)
    {
        Node &fresh = m_nodes[node];
        fresh = {};
        fresh.m_incarnation = Incarnation(1, ++m_incarnations);
        fresh.m_ledgers.emplace(fresh.m_incarnation, KeyLedger(fresh.m_incarnation, limits(), noneInFlight, now()));
    }
    static LedgerLimits limits()
    {
        return smallLimits().withMaxRecords(3).withLifetime(10 * Second);
    }
    TimePoint now() const
    {
        return m_clock.now();
    }

    void submit(const Step &step)
    {
        ++m_submissions;
        const Incarnation entry = m_nodes[step.node].m_incarnation;
        const auto isDone = std::make_shared<bool>(false);
        const Outcome done = [this, isDone](const CallOutcome &) {
            RC_ASSERT(!*isDone);
            *isDone = true;
            ++m_outcomes;
        };
        const KeySerial serial = m_nodes[step.node].m_ledgers.at(entry).issueSerial();
        if (serial == 0) {
            done(CallOutcome::notRun(Reason::Leaving, ""));
            return;
        }
        const Ticket ticket = Ticket().withLocation(KeyLocation().withOwner(entry).withSerial(serial));
        const KeyBinding proposed = KeyBinding().withScopedKey(std::to_string(step.key)).withTicket(ticket);
        write(proposed, MaxBindingWrites, {step.key, done, now() + CallTime});
    }

    void perform(const BindingDecision &decision, const KeyBinding &proposed, int writes, const Submission &submission)
    {
        switch (decision.action()) {
        case BindingAction::Write:
            write(proposed, writes, submission);
            return;
        case BindingAction::Read:
            read(proposed, writes, submission);
            return;
        case BindingAction::Reject:
            submission.m_done(decision.rejection());
            return;
        case BindingAction::Use:
            submitToOwner(decision.binding().ticket().location(), submission);
            return;
        }
    }

    void write(const KeyBinding &proposed, int writes, const Submission &submission)
    {
        const bool isAnswered = !m_isPlatformDown && chance(0.8);
        const bool hasEffect = isAnswered || chance(0.5);
        const auto status = std::make_shared<StoreStatus>(StoreStatus::Unavailable);
        // The write may take effect after a random delay. If its reply is lost, it may take effect only after the
        // client's follow-up read.
        if (hasEffect) {
            schedule([this, proposed, status, isAnswered, writes, submission] {
                const bool isNew = m_objects.emplace(proposed.scopedKey(), proposed).second;
                *status = isNew ? StoreStatus::Ok : StoreStatus::Conflict;
                if (isAnswered) {
                    perform(afterBindingWrite(*status, proposed), proposed, writes - 1, submission);
                }
            });
        }
        if (!isAnswered) {
            schedule([this, proposed, writes, submission] {
                perform(afterBindingWrite(StoreStatus::Unavailable, proposed), proposed, writes - 1, submission);
            });
        }
    }

    void read(const KeyBinding &proposed, int writes, const Submission &submission)
    {
        const bool isAnswered = !m_isPlatformDown && chance(0.8);
        schedule([this, proposed, writes, submission, isAnswered] {
            const auto object = m_objects.find(proposed.scopedKey());
            const bool hasObject = object != m_objects.end();
            const auto found = hasObject ? std::optional(object->second) : std::nullopt;
            const auto seen = hasObject ? StoreStatus::Ok : StoreStatus::NotFound;
            const auto status = isAnswered ? seen : StoreStatus::Unavailable;
            perform(afterBindingRead(status, found, proposed, writes), proposed, writes, submission);
        });
    }

    Node *holderOf(const Incarnation &owner)
    {
        // Several nodes may hold a ledger of one owner: the closed original and the successor's copy.
        std::vector<Node *> holders;
        for (Node &node : m_nodes) {
            if (node.m_ledgers.contains(owner)) {
                holders.push_back(&node);
            }
        }
        return holders.empty() ? nullptr : holders[m_random() % holders.size()];
    }

    void submitToOwner(const KeyLocation &location, const Submission &submission)
    {
        const bool isReplyLost = chance(0.1);
        schedule([this, location, submission, isReplyLost] {
            Node *holder = holderOf(location.owner());
            if (holder == nullptr) {
                submission.m_done(CallOutcome::unknown(Reason::KeyOwnerGone, ""));
                return;
            }
            if (isReplyLost) {
                submission.m_done(CallOutcome::unknown(Reason::KeyOwnerGone, ""));
                submitAtOwner(*holder, location, {submission.m_key, [](const CallOutcome &) {}, submission.m_deadline});
                return;
            }
            submitAtOwner(*holder, location, submission);
        });
    }

    void submitAtOwner(Node &holder, const KeyLocation &location, const Submission &submission)
    {
        KeyLedger &ledger = holder.m_ledgers.at(location.owner());
        const auto decision = ledger.submit(location.serial(), Digest, {}, submission.m_deadline, now());
        switch (decision.verdict()) {
        case SubmissionVerdict::Start:
            startBackend(holder.m_incarnation, location, submission);
            return;
        case SubmissionVerdict::Wait:
            holder.m_waiters[location].push_back(submission.m_done);
            return;
        case SubmissionVerdict::Answer:
            submission.m_done(decision.outcome());
            return;
        case SubmissionVerdict::Closed:
            submission.m_done(CallOutcome::notRun(Reason::Leaving, ""));
            return;
        }
    }

    void startBackend(const Incarnation &holder, const KeyLocation &location, const Submission &submission)
    {
        // The invariant: a key is started once over all ledgers, not counting starts that were proved not to have run.
        ++m_liveStarts[submission.m_key];
        RC_ASSERT(m_liveStarts[submission.m_key] == 1);
        schedule([this, holder, location, submission] {
            const bool isNotRun = chance(0.2);
            const CallOutcome outcome = isNotRun
                ? CallOutcome::notRun(Reason::Overload, "")
                : (chance(0.2) ? CallOutcome::unknown(Reason::BackendLost, "") : answered());
            Node *node = nodeOf(holder);
            if (node == nullptr) {
                // The owner crashed; whether the call ran is no longer known, so its start still counts.
                submission.m_done(CallOutcome::unknown(Reason::KeyOwnerGone, ""));
                return;
            }
            m_liveStarts[submission.m_key] -= isNotRun ? 1 : 0;
            node->m_ledgers.at(location.owner()).finish(location.serial(), outcome, now());
            submission.m_done(outcome);
            const auto waiters = node->m_waiters.extract(location);
            if (!waiters.empty()) {
                for (const Outcome &waiter : waiters.mapped()) {
                    waiter(outcome);
                }
            }
        });
    }

    Node *nodeOf(const Incarnation &incarnation)
    {
        for (Node &node : m_nodes) {
            if (node.m_incarnation == incarnation) {
                return &node;
            }
        }
        return nullptr;
    }

    void crash(const Step &step)
    {
        for (const auto &[location, waiters] : m_nodes[step.node].m_waiters) {
            for (const Outcome &waiter : waiters) {
                waiter(CallOutcome::unknown(Reason::KeyOwnerGone, ""));
            }
        }
        restart(step.node);
    }

    void transferLedgers(const Step &step)
    {
        Node &leaving = m_nodes[step.node];
        Node &successor = m_nodes[(step.node + 1) % Nodes];
        for (auto &[owner, ledger] : leaving.m_ledgers) {
            ledger.close();
            const LedgerSnapshot snapshot = ledger.snapshot(now());
            const bool isTransferred = !successor.m_ledgers.contains(owner)
                && !successor.m_ledgers.at(successor.m_incarnation).isClosed() && chance(0.8);
            if (isTransferred) {
                successor.m_ledgers.emplace(owner, KeyLedger(snapshot, limits(), noneInFlight, now()));
            }
        }
    }

    void platformDown(const Step &)
    {
        m_isPlatformDown = true;
    }
    void platformUp(const Step &)
    {
        m_isPlatformDown = false;
    }
    void wait(const Step &step)
    {
        runUntil(now() + (step.key + 1) * std::chrono::milliseconds(500));
        for (Node &node : m_nodes) {
            for (auto &[owner, ledger] : node.m_ledgers) {
                ledger.expire(now());
            }
        }
    }

    std::mt19937 m_random;
    ManualClock m_clock;
    std::multimap<TimePoint, Task> m_tasks;
    std::vector<Node> m_nodes;
    std::map<std::string, KeyBinding> m_objects; ///< The platform's collection of keys.
    bool m_isPlatformDown = false;
    std::map<int, int> m_liveStarts; ///< By key: starts, without those that were proved not to have run.
    std::uint64_t m_incarnations = 0;
    int m_submissions = 0;
    int m_outcomes = 0;
};

rc::Gen<Step> anyStep()
{
    const auto kind = rc::gen::weightedElement<StepKind>({{10, StepKind::Submit},
                                                          {1, StepKind::Crash},
                                                          {1, StepKind::Transfer},
                                                          {1, StepKind::PlatformDown},
                                                          {2, StepKind::PlatformUp},
                                                          {5, StepKind::Wait}});
    return rc::gen::build<Step>(rc::gen::set(&Step::kind, kind),
                                rc::gen::set(&Step::key, rc::gen::inRange(0, Keys)),
                                rc::gen::set(&Step::node, rc::gen::inRange(0, Nodes)));
}

} // namespace

RC_GTEST_PROP(KeyLedgerModel, EveryKeyStartsAtMostOnceAndEverySubmissionFinishes, ())
{
    // Each sequence of steps is run with several sequences of random delays and losses.
    constexpr unsigned Runs = 50;
    const auto seed = *rc::gen::arbitrary<unsigned>();
    const auto steps = *rc::gen::container<std::vector<Step>>(anyStep());
    for (unsigned run = 0; run < Runs; ++run) {
        SimulatedFleet fleet(seed + run);
        for (const Step &step : steps) {
            fleet.apply(step);
        }
        fleet.runToCompletion();
        RC_ASSERT(fleet.outcomes() == fleet.submissions());
    }
}

} // namespace fescuepond
