// Backend servers whose status line has no status of a final response. Guards against a caller that gets such a
// response as an answer, from the node beside the backend server or through another one.

#include "tests/support/fleet.h"
#include "tests/support/scriptedbackend.h"

#include <gtest/gtest.h>

#include <array>
#include <string>

namespace fescuepond::test
{

namespace
{

constexpr const char *Catalogue = R"(
service: catalogue
kinds:
  - {name: price, method: GET, path: /price/*, rank: 1, idempotent: true, deadline_ms: 4000, retries: 0}
)";
constexpr const char *Desk = R"(
service: desk
kinds:
  - {name: note, method: GET, path: /note/*, rank: 5, idempotent: true, deadline_ms: 4000, retries: 0}
)";
constexpr int StatusBadGateway = 502;

} // namespace

TEST(TargetStatus, ThatIsNotOfAFinalResponseIsNeverPassedOn)
{
    ScriptedBackend backend(0);
    Fleet fleet;
    ASSERT_EQ(fleet.publish({Catalogue, Desk}), 0);
    const FleetNode &target = fleet.addNode(
        {.name = "catalogue-a", .service = "catalogue", .backendAddress = backend.address(), .startsBackend = false});
    const FleetNode &entry = fleet.addNode({.name = "desk-a", .service = "desk"});
    ASSERT_TRUE(fleet.waitUntilReady(2));
    const auto priceFrom = [](const FleetNode &node) {
        return sendHttp(node.front, {.path = "/price/1", .host = "catalogue"});
    };
    static constexpr std::array StatusLines = {"HTTP/1.1 000 None",
                                               "HTTP/1.1 099 None",
                                               "HTTP/1.1 00200 OK",
                                               "HTTP/1.1 101 Switching Protocols",
                                               "HTTP/1.1 1000 None"};
    for (const char *line : StatusLines) {
        backend.setStatusLine(line);
        for (const FleetNode *node : {&target, &entry}) {
            const HttpReply reply = priceFrom(*node);
            EXPECT_EQ(reply.status, StatusBadGateway) << line << ' ' << node->options.name;
            EXPECT_EQ(reply.outcome(), "outcome-unknown") << line << ' ' << node->options.name;
        }
    }
    backend.setStatusLine("HTTP/1.1 200 OK");
    for (const FleetNode *node : {&target, &entry}) {
        EXPECT_EQ(priceFrom(*node).outcome(), "answered") << node->options.name;
    }
}

} // namespace fescuepond::test
