// Quarantine with real processes. Guards against a request that crashes every backend server that runs it and reaches
// all of them, because its caller sends it again.

#include "tests/support/fleet.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace fescuepond::test
{

namespace
{

constexpr const char *Yard = R"(
service: yard
kinds:
  - {name: read, method: GET, path: /*, rank: 5, idempotent: true, deadline_ms: 4000, retries: 3}
)";
constexpr int Resends = 6;
constexpr int MaxRequests = 100;

/// Whether the backend server of `node` still responds.
bool isRunning(const FleetNode &node)
{
    return sendHttp(node.backend, {.path = "/load"}).status == 200;
}

/// Whether a request with another path is answered. Routing may select the crashed backend servers first, so that
/// several requests may be needed.
bool isEventuallyServed(const FleetNode &node)
{
    for (int i = 0; i < MaxRequests; ++i) {
        if (sendHttp(node.front, {.path = "/stock"}).outcome() == "answered") {
            return true;
        }
    }
    return false;
}

} // namespace

TEST(QuarantineSystem, RequestThatCrashesBackendServersReachesAtMostTwo)
{
    Fleet fleet;
    ASSERT_EQ(fleet.publish({Yard}), 0);
    const std::vector<FleetNode *> nodes = {&fleet.addNode({.name = "yard-a", .service = "yard", .zone = "a"}),
                                            &fleet.addNode({.name = "yard-b", .service = "yard", .zone = "b"}),
                                            &fleet.addNode({.name = "yard-c", .service = "yard", .zone = "c"})};
    ASSERT_TRUE(fleet.waitUntilReady(nodes.size()));

    HttpReply reply;
    for (int i = 0; i < Resends; ++i) {
        reply = sendHttp(nodes[static_cast<std::size_t>(i) % nodes.size()]->front, {.path = "/crash"});
    }

    const auto running = std::count_if(nodes.begin(), nodes.end(), [](const FleetNode *node) {
        return isRunning(*node);
    });
    EXPECT_GE(running, 1) << "all three backend servers have crashed";
    EXPECT_EQ(reply.outcome(), "not-run");
    const auto survivor = std::find_if(nodes.begin(), nodes.end(), [](const FleetNode *node) {
        return isRunning(*node);
    });
    ASSERT_NE(survivor, nodes.end());
    EXPECT_EQ((*survivor)->journalLines("begin").size(), 0);
    EXPECT_TRUE(isEventuallyServed(**survivor)) << "other requests are no longer answered";
}

} // namespace fescuepond::test
