// Misrouted calls: a node sends a call to an address at which another node listens by now, as happens if addresses are
// reused. Guards against a target that runs a call meant for another service or incarnation.

#include "tests/support/fleet.h"

#include <gtest/gtest.h>

namespace fescuepond::test
{

namespace
{

std::string declarationOf(const std::string &service)
{
    return "service: " + service
        + "\nkinds:\n  - {name: read, method: GET, path: /*, rank: 5, idempotent: true, deadline_ms: 3000}\n";
}

/// Stops the only target of `yard`, starts a node of another fleet at its address, and checks that this node does not
/// run a call for the stopped one. Each fleet has its own platform, so that the node of desk does not learn of the
/// change.
void expectNotRunByNodeAtReusedAddress(const std::string &name, const std::string &service)
{
    Fleet fleet;
    ASSERT_EQ(fleet.publish({declarationOf("desk"), declarationOf("yard")}), 0);
    const FleetNode &desk = fleet.addNode({.name = "desk-a", .service = "desk"});
    FleetNode &yard = fleet.addNode({.name = "yard-a", .service = "yard"});
    ASSERT_TRUE(fleet.waitUntilReady(2));
    const std::string address = yard.peer;
    yard.process.reset();

    Fleet otherFleet;
    ASSERT_EQ(otherFleet.publish({declarationOf(service)}), 0);
    FleetNode &reusingNode = otherFleet.addNode({.name = name, .service = service, .peerAddress = address});
    ASSERT_EQ(reusingNode.peer, address);

    const HttpReply reply = sendHttp(desk.front, {.path = "/stock", .host = "yard"});
    EXPECT_EQ(reply.outcome(), "not-run") << reply.body;
    EXPECT_TRUE(reusingNode.journalLines("begin").empty());
}

} // namespace

TEST(MisroutedCall, ForAnotherServiceIsNotRun)
{
    expectNotRunByNodeAtReusedAddress("quarry-a", "quarry");
}

// The node at the reused address has the same name and service as the stopped node, but another incarnation.
TEST(MisroutedCall, ForAnEarlierIncarnationIsNotRunByANodeOfTheSameName)
{
    expectNotRunByNodeAtReusedAddress("yard-a", "yard");
}

} // namespace fescuepond::test
