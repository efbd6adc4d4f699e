// Connections that stop transferring bytes without being closed, between nodes and between a node and its backend
// server, while new connections work. Guards against calls that wait on such a connection until their deadline.

#include "tests/support/fleet.h"
#include "tests/support/relay.h"

#include <gtest/gtest.h>

#include <chrono>
#include <future>
#include <iostream>
#include <map>
#include <thread>
#include <vector>

namespace fescuepond::test
{

namespace
{

using namespace std::chrono_literals;
using SteadyTime = std::chrono::steady_clock;

constexpr const char *Yard = R"(
service: yard
kinds:
  - {name: stock, method: GET, path: /stock/*, rank: 5, idempotent: true, deadline_ms: 4000, retries: 0}
)";
constexpr const char *Dispatch = R"(
service: dispatch
kinds:
  - {name: slots, method: GET, path: /slots/*, rank: 5, idempotent: true, deadline_ms: 4000, retries: 0}
)";
/// Less than the initial limit of calls that a node runs at its backend server, so that further calls still have a
/// slot. Calls on silent connections to the backend server occupy their slots until their deadlines, since a node
/// cannot distinguish a silent backend server from a slow one.
constexpr int CallsInFlight = 8;
/// Far above the usual time until a call is answered again, and below the deadline of the calls, so that the test fails
/// if only the deadline ends the wait.
constexpr auto ServedAgainLimit = 3s;

std::chrono::milliseconds elapsedSince(SteadyTime::time_point begin)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(SteadyTime::now() - begin);
}

/// One relay is between the nodes of dispatch and yard, the other between the node of yard and its backend server.
/// Callers use the node of dispatch.
class SilentConnection : public testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_EQ(m_fleet.publish({Yard, Dispatch}), 0);
        m_yard = &m_fleet.addNode({.name = "yard-a",
                                   .service = "yard",
                                   .backendFlags = {"--service_ms=300", "--fixed"},
                                   .settings = {"peer_advertised_address: " + m_peerRelay.address()},
                                   .backendAddress = m_backendRelay.address()});
        m_peerRelay.setTarget(m_yard->peer);
        m_backendRelay.setTarget(m_yard->backend);
        m_entry = &m_fleet.addNode({.name = "dispatch-a", .service = "dispatch"});
        ASSERT_TRUE(m_fleet.waitUntilReady(2));
        ASSERT_EQ(read().get().outcome(), "answered");
    }

    std::future<HttpReply> read() const
    {
        HttpCall call;
        call.host = "yard";
        call.path = "/stock/sleepers";
        return std::async(std::launch::async, [address = m_entry->front, call] {
            return sendHttp(address, call);
        });
    }

    std::vector<std::future<HttpReply>> startReads() const
    {
        std::vector<std::future<HttpReply>> reads;
        reads.reserve(CallsInFlight);
        for (int i = 0; i < CallsInFlight; ++i) {
            reads.push_back(read());
        }
        return reads;
    }

    /// Sends reads one after the other until one is answered; returns the elapsed time.
    std::chrono::milliseconds timeUntilServed() const
    {
        const auto begin = SteadyTime::now();
        while (elapsedSince(begin) < 2 * ServedAgainLimit && read().get().outcome() != "answered") { }
        return elapsedSince(begin);
    }

    static std::map<std::string, int> outcomesOf(std::vector<std::future<HttpReply>> &reads)
    {
        std::map<std::string, int> outcomes;
        for (auto &reply : reads) {
            ++outcomes[reply.get().outcome()];
        }
        return outcomes;
    }

    static void
    report(const char *what, std::chrono::milliseconds timeToServe, const std::map<std::string, int> &outcomes)
    {
        std::cout << what << ": served again after " << timeToServe.count() << " ms; calls in flight:";
        for (const auto &[outcome, count] : outcomes) {
            std::cout << ' ' << outcome << '=' << count;
        }
        std::cout << '\n';
    }

    Relay m_peerRelay;
    Relay m_backendRelay;
    Fleet m_fleet;
    FleetNode *m_yard = nullptr;
    FleetNode *m_entry = nullptr;
};

} // namespace

TEST_F(SilentConnection, BetweenNodesIsReplacedAndEachCallOnItIsSettled)
{
    for (const Direction direction : {Direction::ToCaller, Direction::ToTarget}) {
        auto reads = startReads();
        std::this_thread::sleep_for(100ms);
        m_peerRelay.stall(direction);
        const auto timeToServe = timeUntilServed();
        auto outcomes = outcomesOf(reads);
        report(direction == Direction::ToCaller ? "peer, answers lost" : "peer, requests lost", timeToServe, outcomes);
        EXPECT_LT(timeToServe, ServedAgainLimit);
        EXPECT_EQ(outcomes["answered"], CallsInFlight);
    }
}

TEST_F(SilentConnection, ThatWasIdleBetweenNodesRejectsOneCallAsNotRun)
{
    m_peerRelay.stall(Direction::ToTarget);
    const auto begin = SteadyTime::now();
    const HttpReply first = read().get();
    std::cout << "peer, idle: first call ended as " << first.outcome() << " after " << elapsedSince(begin).count()
              << " ms\n";
    EXPECT_EQ(first.outcome(), "not-run");
    EXPECT_LT(elapsedSince(begin), ServedAgainLimit);
    EXPECT_EQ(read().get().outcome(), "answered");
}

TEST_F(SilentConnection, ToANodeThatAcceptsButSendsNothingFailsItsCallsEarly)
{
    m_peerRelay.setStallsNewConnections(true);
    m_peerRelay.closeConnections();
    const auto begin = SteadyTime::now();
    EXPECT_EQ(read().get().outcome(), "not-run");
    EXPECT_LT(elapsedSince(begin), ServedAgainLimit);
    m_peerRelay.setStallsNewConnections(false);
    EXPECT_LT(timeUntilServed(), ServedAgainLimit);
}

TEST_F(SilentConnection, ToTheBackendServerEndsItsCallsAtTheirDeadlineAndOthersAreServed)
{
    auto reads = startReads();
    std::this_thread::sleep_for(100ms);
    m_backendRelay.stall(Direction::ToCaller);
    const auto begin = SteadyTime::now();
    const auto timeToServe = timeUntilServed();
    auto outcomes = outcomesOf(reads);
    report("backend", timeToServe, outcomes);
    EXPECT_LT(timeToServe, ServedAgainLimit);
    EXPECT_EQ(outcomes["outcome-unknown"], CallsInFlight);
    EXPECT_LT(elapsedSince(begin), 6s);
    EXPECT_EQ(read().get().outcome(), "answered");
}

} // namespace fescuepond::test
