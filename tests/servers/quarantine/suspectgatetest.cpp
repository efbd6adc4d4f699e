// The quarantine of requests that crash backend servers: how many losses it takes, and who is blamed.

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
constexpr Fingerprint Killer(0, 666);

Fingerprint innocent(unsigned number)
{
    return Fingerprint(1, number);
}

GateCall callWith(Fingerprint fingerprint)
{
    return GateCall().withAttempt(AttemptId::random()).withFingerprint(fingerprint);
}

} // namespace

TEST(SuspectGate, SecondLossQuarantinesAndTimeEndsIt)
{
    SuspectGate gate;
    for (int loss = 0; loss < 2; ++loss) {
        const GateCall call = callWith(Killer);
        ASSERT_EQ(gate.arrive(call, Start), GateDecision::Run);
        gate.ended(call.attempt(), RunEnd::BackendLost, Start);
    }
    EXPECT_EQ(gate.arrive(callWith(Killer), Start), GateDecision::Refuse);
    EXPECT_EQ(gate.arrive(callWith(Killer), Start + std::chrono::hours(1)), GateDecision::Run);
}

TEST(SuspectGate, OneSuspectRunsAtATimeBesideOthers)
{
    SuspectGate gate;
    const GateCall killer = callWith(Killer);
    const GateCall bystander = callWith(innocent(1));
    gate.arrive(killer, Start);
    gate.arrive(bystander, Start);
    gate.ended(killer.attempt(), RunEnd::BackendLost, Start);
    gate.ended(bystander.attempt(), RunEnd::BackendLost, Start);

    const GateCall again = callWith(innocent(1));
    EXPECT_EQ(gate.arrive(again, Start), GateDecision::Run);
    EXPECT_EQ(gate.arrive(callWith(Killer), Start), GateDecision::Wait);
    EXPECT_EQ(gate.arrive(callWith(innocent(2)), Start), GateDecision::Run) << "no suspect";
    const GateEnd end = gate.ended(again.attempt(), RunEnd::Answered, Start);
    ASSERT_EQ(end.released.size(), 1);
    EXPECT_EQ(end.released.front().decision(), GateDecision::Run);
    EXPECT_EQ(gate.arrive(callWith(innocent(1)), Start), GateDecision::Run) << "the bystander was cleared";
}

TEST(SuspectGate, LossesThatACallCarriesCount)
{
    SuspectGate gate;
    EXPECT_EQ(gate.arrive(callWith(Killer).withCarriedLosses(2), Start), GateDecision::Refuse);
}

TEST(SuspectGate, NewsOfAnotherNodeCounts)
{
    SuspectGate here;
    SuspectGate there;
    const GateCall call = callWith(Killer);
    there.arrive(call, Start);
    here.merge(there.ended(call.attempt(), RunEnd::BackendLost, Start).changed, Start);
    const GateCall second = callWith(Killer);
    here.arrive(second, Start);
    here.ended(second.attempt(), RunEnd::BackendLost, Start);
    EXPECT_EQ(here.arrive(callWith(Killer), Start), GateDecision::Refuse);
}

// Found by QuarantineSystem: a call refused by the dead backend server's port had cleared the killer.
TEST(SuspectGate, CallThatWasNotRunClearsNobody)
{
    SuspectGate gate;
    const GateCall first = callWith(Killer);
    gate.arrive(first, Start);
    gate.ended(first.attempt(), RunEnd::BackendLost, Start);
    const GateCall unreachable = callWith(Killer);
    gate.arrive(unreachable, Start);
    gate.ended(unreachable.attempt(), runEndOf(CallOutcome::notRun(Reason::BackendUnreachable, "")), Start);
    const GateCall second = callWith(Killer);
    gate.arrive(second, Start);
    gate.ended(second.attempt(), RunEnd::BackendLost, Start);
    EXPECT_EQ(gate.arrive(callWith(Killer), Start), GateDecision::Refuse);
}

// One killer among innocent requests over three nodes, sent again until it is refused. News reaches the other nodes
// before the killer is sent again. It takes at most two backend servers, and every innocent request runs in the end.
RC_GTEST_PROP(SuspectGate, KillerTakesAtMostTwoBackendServersAndNobodyIsBlamedForGood, ())
{
    std::mt19937 random(*rc::gen::arbitrary<unsigned>());
    std::vector<SuspectGate> nodes(3);
    int losses = 0;
    bool isRefused = false;
    TimePoint now = Start;
    while (!isRefused) {
        SuspectGate &node = nodes[random() % nodes.size()];
        std::vector<GateCall> running;
        for (unsigned i = 0; i < 20; ++i) {
            const GateCall call = callWith(innocent(static_cast<unsigned>(random() % 30)));
            if (node.arrive(call, now) == GateDecision::Run) {
                running.push_back(call);
            }
        }
        const GateCall killer = callWith(Killer);
        GateDecision decision = node.arrive(killer, now);
        for (auto call = running.begin(); decision == GateDecision::Wait;) {
            // Innocent calls end one by one until the killer's turn comes.
            for (const GateRelease &release : node.ended(call->attempt(), RunEnd::Answered, now).released) {
                if (release.attempt() == killer.attempt()) {
                    decision = release.decision();
                } else if (release.decision() == GateDecision::Run) {
                    running.push_back(GateCall().withAttempt(release.attempt()));
                }
            }
            call = running.erase(running.begin());
        }
        isRefused = decision == GateDecision::Refuse;
        if (!isRefused) {
            ++losses;
            running.push_back(killer);
        }
        Suspicions news;
        for (const GateCall &call : running) {
            const GateEnd end = node.ended(call.attempt(), isRefused ? RunEnd::Answered : RunEnd::BackendLost, now);
            news.insert(news.end(), end.changed.begin(), end.changed.end());
        }
        for (SuspectGate &other : nodes) {
            other.merge(news, now);
        }
    }
    RC_ASSERT(losses <= 2);
    now += std::chrono::hours(1);
    for (SuspectGate &node : nodes) {
        for (unsigned number = 0; number < 30; ++number) {
            const GateCall call = callWith(innocent(number));
            RC_ASSERT(node.arrive(call, now) == GateDecision::Run);
            node.ended(call.attempt(), RunEnd::Answered, now);
        }
    }
}

} // namespace fescuepond
