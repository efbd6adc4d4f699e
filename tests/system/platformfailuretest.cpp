// A node whose platform is silent or down. Guards against a stop that waits for calls to the platform, and against a
// node that does not follow the configuration after an outage.

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

/// Shorter than platform_timeout_ms, so that a stop which waits for a call to the platform fails the test.
constexpr auto StopTimeout = std::chrono::seconds(5);

/// Longer than the maximum retry interval after an outage (10 s).
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
    // Long enough for the node to have calls in flight that the paused platform does not answer.
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
    // The platform's version counter also counts the node's own object, so that the number of the new version is not
    // known; the test waits for the second event instead.
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
