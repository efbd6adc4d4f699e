// A node that had no descriptors left for a while. Guards against one that accepts no connections of other nodes ever
// after, so that no request reaches its backend server.

#include "tests/support/crowd.h"
#include "tests/support/eventually.h"
#include "tests/support/fleet.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <vector>

namespace fescuepond::test
{

namespace
{

using namespace std::chrono_literals;

constexpr const char *Yard = R"(
service: yard
kinds:
  - {name: stock, method: GET, path: /stock/*, rank: 5, idempotent: true, deadline_ms: 4000, retries: 0}
)";
constexpr std::size_t DescriptorMaximum = 100;
constexpr std::size_t Connections = 120;
constexpr auto MaxWait = 30s;

} // namespace

TEST(DescriptorShortage, DoesNotEndTheListenerForOtherNodes)
{
    Fleet fleet;
    ASSERT_EQ(fleet.publish({Yard}), 0);
    FleetNode &yard = [&]() -> FleetNode & {
        const DescriptorLimit limit(DescriptorMaximum);
        return fleet.addNode({.name = "yard-a", .service = "yard"});
    }();
    ASSERT_TRUE(fleet.waitUntilReady(1));
    {
        std::vector<Poco::Net::StreamSocket> sockets;
        sockets.reserve(Connections);
        for (std::size_t i = 0; i < Connections; ++i) {
            sockets.push_back(connectTo(yard.peer));
        }
        EXPECT_TRUE(eventually(MaxWait, [&] {
            return yard.process->output().find("event=peer_") != std::string::npos
                && yard.process->output().find("_failed") != std::string::npos;
        }));
    }
    const FleetNode &desk = fleet.addNode({.name = "desk-a", .service = "desk"});
    EXPECT_TRUE(eventually(MaxWait, [&] {
        return sendHttp(desk.front, {.path = "/stock/a", .host = "yard"}).outcome() == "answered";
    }));
    EXPECT_EQ(yard.process->wait(0ms), std::nullopt);
}

} // namespace fescuepond::test
