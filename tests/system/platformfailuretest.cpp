// A node and a platform that is slow, silent or away.

#include "tests/support/fleet.h"

#include <gtest/gtest.h>

#include <csignal>
#include <thread>

namespace fescuepond::test
{

namespace
{

constexpr const char *Yard = R"(
service: yard
kinds:
  - {name: stock, method: GET, path: /stock/*, rank: 5, idempotent: true, deadline_ms: 5000}
)";

/// A stop that waits for a watch would take longer.
constexpr auto StopTimeout = std::chrono::seconds(5);

/// Retries after an outage come at most ten seconds apart.
constexpr auto InForceTimeout = std::chrono::seconds(15);

int configurationEventCount(const FleetNode &node)
{
    const std::string output = node.process->output();
    const std::string event = "event=configuration_in_force";
    int count = 0;
    for (auto at = output.find(event); at != std::string::npos; at = output.find(event, at + 1)) {
        ++count;
    }
    return count;
}

} // namespace

TEST(PlatformFailure, NodeWithCallsInFlightToASilentPlatformStopsAtOnce)
{
    Fleet fleet;
    ASSERT_EQ(fleet.publish({Yard}), 0);
    const FleetNode &node =
        fleet.addNode({.name = "yard-a", .service = "yard", .settings = {"platform_timeout_ms: 20000"}});
    ASSERT_TRUE(fleet.waitUntilReady(1));
    fleet.platformProcess().pause();
    // Long enough for calls to be under way that will have no answer.
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    node.process->signal(SIGTERM);
    EXPECT_EQ(node.process->wait(StopTimeout), std::optional<int>(0));
    fleet.platformProcess().signal(SIGCONT);
}

TEST(PlatformFailure, NodeFollowsNewVersionsAfterAPlatformOutage)
{
    Fleet fleet;
    ASSERT_EQ(fleet.publish({Yard}), 0);
    const FleetNode &node = fleet.addNode({.name = "yard-a", .service = "yard"});
    ASSERT_TRUE(fleet.waitUntilReady(1));
    fleet.setPlatformMode("down=1");
    std::this_thread::sleep_for(std::chrono::seconds(1));
    fleet.setPlatformMode("");
    std::string changed = Yard;
    changed.replace(changed.find("5000"), 4, "4000");
    ASSERT_EQ(fleet.publish({changed}), 0);
    // The node's own object takes versions of the platform's counter too, so only the second event is waited for.
    const auto end = std::chrono::steady_clock::now() + InForceTimeout;
    while (configurationEventCount(node) < 2 && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    EXPECT_EQ(configurationEventCount(node), 2);
    HttpCall call;
    call.path = "/metrics";
    const std::string metrics = sendHttp(node.operatorAddress, call).body;
    EXPECT_NE(metrics.find("outcome=\"unavailable\""), std::string::npos);
}

} // namespace fescuepond::test
