// Calls that are delayed on the way to their target's node. Guards against a node that passes them to its backend
// server after their deadline, because the relation of the clocks on their connection was wrong, or after their caller
// has left.

#include "tests/support/fleet.h"
#include "tests/support/relay.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <future>
#include <thread>
#include <vector>

namespace fescuepond::test
{

namespace
{

using namespace std::chrono_literals;

constexpr auto Deadline = 500ms;
constexpr const char *Yard = R"(
service: yard
kinds:
  - {name: stock, method: GET, path: /stock/*, rank: 5, idempotent: true, deadline_ms: 500, retries: 0}
  - {name: ledger, method: GET, path: /ledger/*, rank: 5, idempotent: true, deadline_ms: 4000, retries: 0}
)";
constexpr const char *Dispatch = R"(
service: dispatch
kinds:
  - {name: slots, method: GET, path: /slots/*, rank: 5, idempotent: true, deadline_ms: 4000, retries: 0}
)";
constexpr auto CallerTimeout = 250ms;
constexpr int LateCalls = 15;

/// Callers use the node of dispatch, which reaches the node of yard through a relay.
class LateCall : public testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_EQ(m_fleet.publish({Yard, Dispatch}), 0);
        m_yard = &m_fleet.addNode(
            {.name = "yard-a", .service = "yard", .settings = {"peer_advertised_address: " + m_relay.address()}});
        m_relay.setTarget(m_yard->peer);
        m_entry = &m_fleet.addNode({.name = "dispatch-a", .service = "dispatch"});
        ASSERT_TRUE(m_fleet.waitUntilReady(2));
    }

    std::future<HttpReply> read(const std::string &path, std::chrono::milliseconds timeout = 10s) const
    {
        return std::async(std::launch::async, [this, path, timeout] {
            return sendHttp(m_entry->front, {.path = path, .host = "yard", .timeout = timeout});
        });
    }

    /// Replaces the connection to yard by one whose hello takes 800 ms.
    void connectSlowly()
    {
        m_relay.setStallsNewConnections(true);
        m_relay.closeConnections();
        auto first = read("/ledger/first");
        std::this_thread::sleep_for(800ms);
        m_relay.setStallsNewConnections(false);
        m_relay.resume();
        // It may have been sent on the connection that was closed.
        first.get();
    }

    /// Sends calls whose callers leave after CallerTimeout, and waits until they have.
    void readAndLeave() const
    {
        std::vector<std::future<HttpReply>> replies(LateCalls);
        for (auto &reply : replies) {
            reply = read("/ledger/late", CallerTimeout);
        }
        for (auto &reply : replies) {
            EXPECT_EQ(reply.get().status, 0);
        }
        std::this_thread::sleep_for(200ms);
    }

    /// Waits until calls that arrived have begun, and counts those that were run with `path`.
    std::size_t executionCount(const std::string &path) const
    {
        std::this_thread::sleep_for(1s);
        const std::vector<std::string> lines = m_yard->journalLines("begin");
        return static_cast<std::size_t>(std::count_if(lines.begin(), lines.end(), [&](const std::string &line) {
            return line.find(path) != std::string::npos;
        }));
    }

    Relay m_relay;
    Fleet m_fleet;
    FleetNode *m_yard = nullptr;
    FleetNode *m_entry = nullptr;
};

} // namespace

TEST_F(LateCall, IsNotRunAfterItsDeadlineIfTheHelloOfItsConnectionTookLong)
{
    connectSlowly();
    ASSERT_EQ(read("/ledger/second").get().outcome(), "answered");

    m_relay.stall(Direction::ToTarget);
    std::vector<std::future<HttpReply>> replies(LateCalls);
    for (auto &reply : replies) {
        reply = read("/stock/late");
    }
    std::this_thread::sleep_for(Deadline + 200ms);
    m_relay.resume();
    for (auto &reply : replies) {
        EXPECT_NE(reply.get().outcome(), "answered");
    }
    EXPECT_EQ(executionCount("/stock/late"), 0);
}

TEST_F(LateCall, IsNotTakenForOneSoonAfterTheHelloOfItsConnectionTookLong)
{
    connectSlowly();
    read("/ledger/second").get();
    std::this_thread::sleep_for(300ms);
    for (int i = 0; i < 5; ++i) {
        EXPECT_EQ(read("/stock/in-time").get().outcome(), "answered");
    }
}

TEST_F(LateCall, IsNotRunIfItsCallerLeftWhileTheConnectionToItsTargetWasOpened)
{
    m_relay.setStallsNewConnections(true);
    m_relay.closeConnections();
    readAndLeave();
    m_relay.setStallsNewConnections(false);
    m_relay.resume();
    EXPECT_EQ(executionCount("/ledger/late"), 0);
}

TEST_F(LateCall, IsNotRunIfItsCancellationArrivesTogetherWithIt)
{
    ASSERT_EQ(read("/ledger/first").get().outcome(), "answered");
    m_relay.stall(Direction::ToTarget);
    readAndLeave();
    m_relay.resume();
    EXPECT_EQ(executionCount("/ledger/late"), 0);
}

} // namespace fescuepond::test
