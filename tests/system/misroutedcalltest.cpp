// An address that has passed from one service's target to another's.

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

/// A node of another fleet takes the address of the only target of `yard`, whose callers still know it. Each fleet has
/// a platform of its own.
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

// The other fleet's node even has the name and the service of the one that is gone.
TEST(MisroutedCall, ForAnEarlierIncarnationIsNotRunByANodeOfTheSameName)
{
    expectNotRunByNodeAtReusedAddress("yard-a", "yard");
}

} // namespace fescuepond::test
