// Tests of the quarantine: a request that crashes backend servers must be rejected after two losses, and requests that
// only ran beside it must not be quarantined.

#include "servers/quarantine/suspectgate.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>

namespace fescuepond
{

namespace
{

constexpr TimePoint Start{std::chrono::hours(1)};
constexpr Fingerprint Poison(0, 666);

Fingerprint harmless(unsigned number)
{
    return Fingerprint(1, number);
}

GateCall callWith(Fingerprint fingerprint)
{
    return GateCall().withAttempt(AttemptId::random()).withFingerprint(fingerprint);
}

} // namespace

TEST(SuspectGate, SecondLossQuarantinesForALimitedTime)
{
    SuspectGate gate;
    for (int loss = 0; loss < 2; ++loss) {
        const GateCall call = callWith(Poison);
        ASSERT_EQ(gate.admit(call, Start), GateDecision::Run);
        gate.finish(call.attempt(), CrashEvidence::BackendLost, Start);
    }
    EXPECT_EQ(gate.admit(callWith(Poison), Start), GateDecision::Reject);
    EXPECT_EQ(gate.admit(callWith(Poison), Start + std::chrono::hours(1)), GateDecision::Run);
}

TEST(SuspectGate, OneSuspectRunsAtATimeBesideOtherCalls)
{
    SuspectGate gate;
    const GateCall poison = callWith(Poison);
    const GateCall bystander = callWith(harmless(1));
    gate.admit(poison, Start);
    gate.admit(bystander, Start);
    gate.finish(poison.attempt(), CrashEvidence::BackendLost, Start);
    gate.finish(bystander.attempt(), CrashEvidence::BackendLost, Start);

    const GateCall again = callWith(harmless(1));
    EXPECT_EQ(gate.admit(again, Start), GateDecision::Run);
    EXPECT_EQ(gate.admit(callWith(Poison), Start), GateDecision::Wait);
    EXPECT_EQ(gate.admit(callWith(harmless(2)), Start), GateDecision::Run) << "no suspect";
    const GateUpdate update = gate.finish(again.attempt(), CrashEvidence::Answered, Start);
    ASSERT_EQ(update.released.size(), 1);
    EXPECT_EQ(update.released.front().decision(), GateDecision::Run);
    EXPECT_EQ(gate.admit(callWith(harmless(1)), Start), GateDecision::Run) << "the bystander was cleared";
}

TEST(SuspectGate, PriorLossesOfACallCount)
{
    SuspectGate gate;
    EXPECT_EQ(gate.admit(callWith(Poison).withPriorLosses(2), Start), GateDecision::Reject);
}

TEST(SuspectGate, SuspicionsOfAnotherNodeCount)
{
    SuspectGate here;
    SuspectGate there;
    const GateCall call = callWith(Poison);
    there.admit(call, Start);
    here.merge(there.finish(call.attempt(), CrashEvidence::BackendLost, Start).changed, Start);
    const GateCall second = callWith(Poison);
    here.admit(second, Start);
    here.finish(second.attempt(), CrashEvidence::BackendLost, Start);
    EXPECT_EQ(here.admit(callWith(Poison), Start), GateDecision::Reject);
}

// Guards against clearing a suspect whose call was not run: after a crash, a call that failed to connect to the dead
// backend server's port counted as evidence that the request is harmless.
TEST(SuspectGate, CallThatWasNotRunClearsNoSuspect)
{
    SuspectGate gate;
    const GateCall first = callWith(Poison);
    gate.admit(first, Start);
    gate.finish(first.attempt(), CrashEvidence::BackendLost, Start);
    const GateCall unreachable = callWith(Poison);
    gate.admit(unreachable, Start);
    gate.finish(unreachable.attempt(), crashEvidenceOf(CallOutcome::notRun(Reason::BackendUnreachable, "")), Start);
    const GateCall second = callWith(Poison);
    gate.admit(second, Start);
    gate.finish(second.attempt(), CrashEvidence::BackendLost, Start);
    EXPECT_EQ(gate.admit(callWith(Poison), Start), GateDecision::Reject);
}

// One poison request among harmless ones on three nodes, retried until it is rejected. The other nodes receive the
// changed suspicions before each retry. At most two backend servers must be lost, and every harmless request must run
// in the end.
RC_GTEST_PROP(SuspectGate, PoisonRequestCrashesAtMostTwoBackendServersAndQuarantineEnds, ())
{
    std::mt19937 random(*rc::gen::arbitrary<unsigned>());
    std::vector<SuspectGate> nodes(3);
    int losses = 0;
    bool isRejected = false;
    TimePoint now = Start;
    while (!isRejected) {
        SuspectGate &node = nodes[random() % nodes.size()];
        std::vector<GateCall> running;
        for (unsigned i = 0; i < 20; ++i) {
            const GateCall call = callWith(harmless(static_cast<unsigned>(random() % 30)));
            if (node.admit(call, now) == GateDecision::Run) {
                running.push_back(call);
            }
        }
        const GateCall poison = callWith(Poison);
        GateDecision decision = node.admit(poison, now);
        for (auto call = running.begin(); decision == GateDecision::Wait;) {
            // Harmless calls finish one by one until the poison request is released.
            for (const GateRelease &release : node.finish(call->attempt(), CrashEvidence::Answered, now).released) {
                if (release.attempt() == poison.attempt()) {
                    decision = release.decision();
                } else if (release.decision() == GateDecision::Run) {
                    running.push_back(GateCall().withAttempt(release.attempt()));
                }
            }
            call = running.erase(running.begin());
        }
        isRejected = decision == GateDecision::Reject;
        if (!isRejected) {
            ++losses;
            running.push_back(poison);
        }
        Suspicions changes;
        for (const GateCall &call : running) {
            const GateUpdate update =
                node.finish(call.attempt(), isRejected ? CrashEvidence::Answered : CrashEvidence::BackendLost, now);
            changes.insert(changes.end(), update.changed.begin(), update.changed.end());
        }
        for (SuspectGate &other : nodes) {
            other.merge(changes, now);
        }
    }
    RC_ASSERT(losses <= 2);
    now += std::chrono::hours(1);
    for (SuspectGate &node : nodes) {
        for (unsigned number = 0; number < 30; ++number) {
            const GateCall call = callWith(harmless(number));
            RC_ASSERT(node.admit(call, now) == GateDecision::Run);
            node.finish(call.attempt(), CrashEvidence::Answered, now);
        }
    }
}

} // namespace fescuepond
