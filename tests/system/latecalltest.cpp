// Calls that arrive at their target's node after their deadline. Guards against a node that passes them to its backend
// server because the relation of the clocks on their connection was wrong.

#include "tests/support/fleet.h"
#include "tests/support/relay.h"

#include <gtest/gtest.h>

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
constexpr int LateCalls = 15;

} // namespace

TEST(LateCall, IsNotRunAfterItsDeadlineIfTheHelloOfItsConnectionTookLong)
{
    Relay relay;
    Fleet fleet;
    ASSERT_EQ(fleet.publish({Yard, Dispatch}), 0);
    FleetNode &yard = fleet.addNode(
        {.name = "yard-a", .service = "yard", .settings = {"peer_advertised_address: " + relay.address()}});
    relay.setTarget(yard.peer);
    const FleetNode &entry = fleet.addNode({.name = "dispatch-a", .service = "dispatch"});
    ASSERT_TRUE(fleet.waitUntilReady(2));
    const auto read = [&](const std::string &path) {
        return std::async(std::launch::async, [&entry, path] {
            return sendHttp(entry.front, {.path = path, .host = "yard"});
        });
    };

    relay.setStallsNewConnections(true);
    relay.closeConnections();
    auto first = read("/ledger/first");
    std::this_thread::sleep_for(800ms);
    relay.setStallsNewConnections(false);
    relay.resume();
    // It may have been sent on the connection that was closed.
    first.get();
    ASSERT_EQ(read("/ledger/second").get().outcome(), "answered");

    relay.stall(Direction::ToTarget);
    std::vector<std::future<HttpReply>> replies;
    for (int i = 0; i < LateCalls; ++i) {
        replies.push_back(read("/stock/late"));
    }
    std::this_thread::sleep_for(Deadline + 200ms);
    relay.resume();
    for (auto &reply : replies) {
        EXPECT_NE(reply.get().outcome(), "answered");
    }
    std::this_thread::sleep_for(1s);
    for (const std::string &line : yard.journalLines("begin")) {
        EXPECT_EQ(line.find("/stock/late"), std::string::npos) << line;
    }
}

} // namespace fescuepond::test
