// End-to-end path of a request, with real processes: through the nodes of two services, with a downstream call. Guards
// against calls that are lost or run twice between nodes, and against calls of an undeclared service or kind that run.

#include "tests/support/fleet.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <thread>

namespace fescuepond::test
{

namespace
{

constexpr const char *Dispatch = R"(
service: dispatch
kinds:
  - {name: slots, method: GET, path: /slots/*, rank: 5, idempotent: true, deadline_ms: 5000, retries: 2}
)";
constexpr const char *Yard = R"(
service: yard
kinds:
  - {name: stock, method: GET, path: /stock/*, rank: 5, idempotent: true, deadline_ms: 5000, retries: 2}
)";

} // namespace

TEST(Path, RequestPassesTwoNodesAndMakesADownstreamCall)
{
    Fleet fleet;
    ASSERT_EQ(fleet.publish({Dispatch, Yard}), 0);
    FleetNode &yard = fleet.addNode({.name = "yard-a", .service = "yard"});
    FleetNode &dispatch = fleet.addNode(
        {.name = "dispatch-a", .service = "dispatch", .backendFlags = {"--downstream=GET yard /stock/sleepers"}});
    ASSERT_TRUE(fleet.waitUntilReady(2));

    HttpCall call;
    call.host = "dispatch";
    call.path = "/slots/monday";
    const HttpReply reply = sendHttp(yard.front, call);

    EXPECT_EQ(reply.status, 200);
    EXPECT_EQ(reply.outcome(), "answered");
    EXPECT_NE(reply.body.find("yard=200"), std::string::npos) << reply.body;
    EXPECT_EQ(dispatch.journalLines("begin").size(), 1);
    EXPECT_EQ(yard.journalLines("begin").size(), 1);
}

TEST(Path, CallsThatAreAnsweredSoonCauseNoHealthCheckOfAConnectionThatWasIdle)
{
    constexpr int Calls = 8;
    constexpr auto Pause = std::chrono::milliseconds(400);
    Fleet fleet;
    ASSERT_EQ(fleet.publish({Dispatch, Yard}), 0);
    const FleetNode &yard = fleet.addNode({.name = "yard-a", .service = "yard"});
    const FleetNode &dispatch = fleet.addNode({.name = "dispatch-a", .service = "dispatch"});
    ASSERT_TRUE(fleet.waitUntilReady(2));
    for (int i = 0; i < Calls; ++i) {
        EXPECT_EQ(sendHttp(dispatch.front, {.path = "/stock/sleepers", .host = "yard"}).status, 200);
        std::this_thread::sleep_for(Pause);
    }
    const std::string metrics = sendHttp(yard.operatorAddress, {.path = "/metrics"}).body;
    const std::string name = "\nfescuepond_pings_received_total ";
    const std::size_t found = metrics.find(name);
    // Some may be due to read the clock of the other node.
    const int pings = found == std::string::npos ? 0 : std::stoi(metrics.substr(found + name.size()));
    EXPECT_LT(pings, Calls / 2);
}

TEST(Path, UnknownServiceAndUnknownKindAreRejectedAsNotRun)
{
    Fleet fleet;
    ASSERT_EQ(fleet.publish({Yard}), 0);
    const FleetNode &yard = fleet.addNode({.name = "yard-a", .service = "yard"});
    ASSERT_TRUE(fleet.waitUntilReady(1));

    HttpCall unknownService;
    unknownService.host = "nosuch";
    EXPECT_EQ(sendHttp(yard.front, unknownService).status, 404);
    HttpCall unknownKind;
    unknownKind.method = "DELETE";
    unknownKind.path = "/stock/sleepers";
    const HttpReply reply = sendHttp(yard.front, unknownKind);
    EXPECT_EQ(reply.status, 404);
    EXPECT_EQ(reply.outcome(), "not-run");
    EXPECT_TRUE(yard.journalLines("begin").empty());
}

} // namespace fescuepond::test
