// Retries in a chain of three services, with real processes. Guards against a retry storm: if each hop retried on its
// own, the number of calls would multiply with each hop. Only the hop next to the failure retries, within the
// allowance.

#include "tests/support/fleet.h"

#include <gtest/gtest.h>

namespace fescuepond::test
{

namespace
{

constexpr int RetryAllowance = 3;

std::string declaration(const std::string &service)
{
    return "service: " + service
        + "\nkinds:\n  - {name: read, method: GET, path: /*, rank: 5, idempotent: true, deadline_ms: 8000, retries: "
        + std::to_string(RetryAllowance) + "}\n";
}

void setBackend(const FleetNode &node, const std::string &query)
{
    HttpCall call;
    call.method = "POST";
    call.path = "/set?" + query;
    sendHttp(node.backendControl, call);
}

} // namespace

TEST(RetrySystem, ChainOfFailingServicesStaysWithinTheRetryAllowance)
{
    Fleet fleet;
    ASSERT_EQ(fleet.publish({declaration("top"), declaration("middle"), declaration("bottom")}), 0);
    FleetNode &top = fleet.addNode({.name = "top", .service = "top", .backendFlags = {"--downstream=GET middle /x"}});
    FleetNode &middle =
        fleet.addNode({.name = "middle", .service = "middle", .backendFlags = {"--downstream=GET bottom /x"}});
    FleetNode &bottom = fleet.addNode({.name = "bottom", .service = "bottom"});
    ASSERT_TRUE(fleet.waitUntilReady(3));
    for (const FleetNode *node : {&top, &middle, &bottom}) {
        setBackend(*node, "fail=1");
    }

    const HttpReply reply = sendHttp(top.front, {.path = "/x"});

    EXPECT_EQ(reply.status, 500);
    const std::size_t executions =
        top.journalLines("begin").size() + middle.journalLines("begin").size() + bottom.journalLines("begin").size();
    EXPECT_EQ(top.journalLines("begin").size(), 1) << "only the hop next to the failure retries";
    EXPECT_EQ(middle.journalLines("begin").size(), 1);
    EXPECT_GT(bottom.journalLines("begin").size(), 1);
    EXPECT_LE(executions, 3 + RetryAllowance);
}

TEST(PathCompletionSystem, RequestsWhoseChainNeverSucceedsAreRefusedWhereTheyEnter)
{
    constexpr int Requests = 120;
    constexpr int MaxBegun = 60;
    Fleet fleet;
    ASSERT_EQ(fleet.publish({declaration("top"), declaration("bottom")}), 0);
    FleetNode &top = fleet.addNode({.name = "top", .service = "top", .backendFlags = {"--downstream=GET bottom /x"}});
    FleetNode &bottom = fleet.addNode({.name = "bottom", .service = "bottom"});
    ASSERT_TRUE(fleet.waitUntilReady(2));
    for (const FleetNode *node : {&top, &bottom}) {
        setBackend(*node, "fail=1");
    }
    int refused = 0;
    for (int i = 0; i < Requests; ++i) {
        const HttpReply reply = sendHttp(bottom.front, {.path = "/x", .host = "top"});
        EXPECT_TRUE(reply.status == 500 || reply.outcome() == "not-run") << reply.status;
        refused += reply.outcome() == "not-run" ? 1 : 0;
    }
    EXPECT_LT(top.journalLines("begin").size(), MaxBegun);
    EXPECT_EQ(top.journalLines("begin").size() + static_cast<std::size_t>(refused), Requests);

    for (const FleetNode *node : {&top, &bottom}) {
        setBackend(*node, "fail=0");
    }
    int served = 0;
    for (int i = 0; i < Requests; ++i) {
        served += sendHttp(bottom.front, {.path = "/x", .host = "top"}).status == 200 ? 1 : 0;
    }
    EXPECT_GT(served, Requests / 2);
}

} // namespace fescuepond::test
