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

} // namespace

// Each fleet has a platform of its own. A node of the second one takes the address of the first one's only target.
TEST(Stranger, CallForAnotherServiceIsNotRun)
{
    Fleet fleet;
    ASSERT_EQ(fleet.publish({declarationOf("desk"), declarationOf("yard")}), 0);
    const FleetNode &desk = fleet.addNode({.name = "desk-a", .service = "desk"});
    FleetNode &yard = fleet.addNode({.name = "yard-a", .service = "yard"});
    ASSERT_TRUE(fleet.waitUntilReady(2));
    const std::string address = yard.peer;
    yard.process.reset();

    Fleet others;
    ASSERT_EQ(others.publish({declarationOf("quarry")}), 0);
    FleetNode &quarry = others.addNode({.name = "quarry-a", .service = "quarry", .peerAddress = address});
    ASSERT_EQ(quarry.peer, address);

    const HttpReply reply = sendHttp(desk.front, {.path = "/stock", .host = "yard"});
    EXPECT_EQ(reply.outcome(), "not-run") << reply.body;
    EXPECT_TRUE(quarry.journalLines("begin").empty());
}

// The other fleet's node even has the name and the service of the one that is gone.
TEST(Stranger, CallForAnEarlierLifeIsNotRunByANodeThatLooksTheSame)
{
    Fleet fleet;
    ASSERT_EQ(fleet.publish({declarationOf("desk"), declarationOf("yard")}), 0);
    const FleetNode &desk = fleet.addNode({.name = "desk-a", .service = "desk"});
    FleetNode &yard = fleet.addNode({.name = "yard-a", .service = "yard"});
    ASSERT_TRUE(fleet.waitUntilReady(2));
    const std::string address = yard.peer;
    yard.process.reset();

    Fleet others;
    ASSERT_EQ(others.publish({declarationOf("yard")}), 0);
    FleetNode &stranger = others.addNode({.name = "yard-a", .service = "yard", .peerAddress = address});
    ASSERT_EQ(stranger.peer, address);

    const HttpReply reply = sendHttp(desk.front, {.path = "/stock", .host = "yard"});
    EXPECT_EQ(reply.outcome(), "not-run") << reply.body;
    EXPECT_TRUE(stranger.journalLines("begin").empty());
}

} // namespace fescuepond::test
