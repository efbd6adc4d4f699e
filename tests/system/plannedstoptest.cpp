// Planned stops with real processes. Guards against requests that fail during a rolling restart under load, against
// nodes that go on calling a target that is leaving, and against requests that arrive late in the grace period, are
// passed on, and get no response because the process ends first, and against a process that doesn't end because its
// backend server doesn't respond.

#include "tests/support/callers.h"
#include "tests/support/eventually.h"
#include "tests/support/fleet.h"
#include "tests/support/rawconnection.h"

#include <gtest/gtest.h>

#include <array>
#include <csignal>
#include <iostream>
#include <thread>

namespace fescuepond::test
{

namespace
{

using std::chrono::milliseconds;

constexpr const char *Dispatch = R"(
service: dispatch
kinds:
  - {name: slots, method: GET, path: /slots/*, rank: 5, idempotent: false, deadline_ms: 8000, retries: 0}
)";
constexpr const char *Yard = R"(
service: yard
kinds:
  - {name: stock, method: GET, path: /stock/*, rank: 5, idempotent: false, deadline_ms: 8000, retries: 0}
)";
constexpr milliseconds StopLimit(15'000);
/// Time after the start of its planned stop in which a target may still receive calls.
constexpr milliseconds LeaveLimit(3000);
constexpr std::array Zones = {"zone-a", "zone-b", "zone-c"};

/// Two services in three zones; each request to dispatch makes a call to yard. Retries are off, since they would hide
/// failed calls.
struct TwoServices {
    TwoServices()
    {
        fleet.publish({Dispatch, Yard});
        for (const std::string zone : Zones) {
            yard.push_back(&fleet.addNode(
                {.name = "yard-" + zone, .service = "yard", .zone = zone, .settings = {"leave_grace_ms: 500"}}));
            dispatch.push_back(&fleet.addNode({.name = "dispatch-" + zone,
                                               .service = "dispatch",
                                               .zone = zone,
                                               .backendFlags = {"--downstream=GET yard /stock/sleepers"},
                                               .settings = {"leave_grace_ms: 500"}}));
        }
    }
    std::vector<std::string> fronts() const
    {
        std::vector<std::string> addresses;
        for (std::size_t zone = 0; zone < Zones.size(); ++zone) {
            addresses.push_back(dispatch[zone]->front);
            addresses.push_back(yard[zone]->front);
        }
        return addresses;
    }

    Fleet fleet;
    std::vector<FleetNode *> dispatch;
    std::vector<FleetNode *> yard;
};

HttpCall slotsRequest()
{
    HttpCall call;
    call.host = "dispatch";
    call.path = "/slots/monday";
    return call;
}

} // namespace

TEST(PlannedStop, RollingRestartUnderLoadFailsNoRequest)
{
    TwoServices services;
    ASSERT_TRUE(services.fleet.waitUntilReady(6));
    Callers callers(slotsRequest(), services.fronts(), 12, milliseconds(5));

    for (std::size_t zone = 0; zone < Zones.size(); ++zone) {
        for (FleetNode *node : {services.dispatch[zone], services.yard[zone]}) {
            node->process->signal(SIGTERM);
        }
        for (FleetNode *node : {services.dispatch[zone], services.yard[zone]}) {
            EXPECT_EQ(node->process->wait(StopLimit), 0) << node->process->output();
            const std::string left = node->process->waitForLine("event=target_left");
            std::cout << node->options.name << ": " << left << '\n';
            EXPECT_LE(std::stoi(valueIn(left, "last_call_after_ms")), LeaveLimit.count()) << left;
            services.fleet.restartNode(*node);
        }
        callers.setAddresses(services.fronts());
        EXPECT_TRUE(services.fleet.waitUntilReady(6));
    }

    const CallCounts counts = callers.stop();
    std::cout << counts.toString() << '\n';
    EXPECT_GT(counts.answered, 100);
    EXPECT_EQ(counts.incomplete, 0) << counts.toString();
    EXPECT_EQ(counts.failedTotal(), 0) << counts.toString();
}

TEST(PlannedStop, LeavingTargetReceivesNoNewCalls)
{
    Fleet fleet;
    fleet.publish({Yard});
    std::vector<std::string> fronts;
    for (const std::string name : {"yard-1", "yard-2", "yard-3"}) {
        fronts.push_back(fleet.addNode({.name = name, .service = "yard"}).front);
    }
    // Callers reach this node only through the other three, which learn of its stop from its state `leaving` alone.
    FleetNode &leaving = fleet.addNode({.name = "yard-4", .service = "yard", .settings = {"leave_grace_ms: 500"}});
    ASSERT_TRUE(fleet.waitUntilReady(4));
    HttpCall call;
    call.host = "yard";
    call.path = "/stock/sleepers";
    Callers callers(call, fronts, 12, milliseconds(5));
    std::this_thread::sleep_for(std::chrono::seconds(1));

    leaving.process->signal(SIGTERM);
    EXPECT_EQ(leaving.process->wait(StopLimit), 0);
    const std::string left = leaving.process->waitForLine("event=target_left");
    const CallCounts counts = callers.stop();
    std::cout << left << '\n' << counts.toString() << '\n';
    EXPECT_GT(leaving.journalLines("begin").size(), 10);
    EXPECT_LE(std::stoi(valueIn(left, "last_call_after_ms")), LeaveLimit.count());
    EXPECT_EQ(valueIn(left, "refused"), "0") << left;
    EXPECT_EQ(counts.incomplete + counts.failedTotal(), 0) << counts.toString();
}

TEST(PlannedStop, RequestThatComesLateInTheGraceAndIsPassedOnGetsAResponse)
{
    Fleet fleet;
    fleet.publish({Yard, Dispatch});
    FleetNode &yard = fleet.addNode(
        {.name = "yard-1", .service = "yard", .backendFlags = {"--service_ms=1800", "--fixed"}, .settings = {}});
    constexpr std::size_t RequestCount = 12;
    // The process is cut off 2.2 s after the signal.
    FleetNode &entry = fleet.addNode(
        {.name = "dispatch-1", .service = "dispatch", .settings = {"leave_grace_ms: 600", "stop_limit_s: 3"}});
    ASSERT_TRUE(fleet.waitUntilReady(2));
    std::vector<std::unique_ptr<RawConnection>> connections;
    connections.reserve(RequestCount);
    for (std::size_t i = 0; i < RequestCount; ++i) {
        connections.push_back(std::make_unique<RawConnection>(entry.front));
    }

    entry.process->signal(SIGTERM);
    for (const auto &connection : connections) {
        connection->send("GET /stock/sleepers HTTP/1.1\r\nHost: yard\r\n\r\n");
        std::this_thread::sleep_for(milliseconds(100));
    }
    std::size_t responses = 0;
    for (const auto &connection : connections) {
        EXPECT_TRUE(connection->isClosedWithin(StopLimit));
        const std::string &received = connection->received();
        EXPECT_TRUE(received.empty() || received.starts_with("HTTP/1.1 ")) << received;
        responses += received.empty() ? 0 : 1;
        std::cout << received.substr(0, received.find('\r')) << '\n';
    }
    EXPECT_TRUE(entry.process->wait(milliseconds(3000)).has_value());
    const std::size_t passedOn = yard.journalLines("begin").size();
    EXPECT_GT(passedOn, 5);
    EXPECT_GE(responses, passedOn) << "requests that were passed on got no response";
}

TEST(PlannedStop, ProcessEndsAlthoughItsBackendServerDoesNotRespond)
{
    constexpr const char *SilentYard = R"(
service: yard
kinds:
  - {name: stock, method: GET, path: /stock/*, rank: 5, idempotent: false, deadline_ms: 3000, retries: 0}
)";
    Fleet fleet;
    fleet.publish({SilentYard});
    FleetNode &yard = fleet.addNode({.name = "yard-1",
                                     .service = "yard",
                                     .backendFlags = {"--service_ms=60000", "--fixed"},
                                     .settings = {"leave_grace_ms: 100", "drain_timeout_ms: 300"}});
    ASSERT_TRUE(fleet.waitUntilReady(1));
    RawConnection connection(yard.front);
    connection.send("GET /stock/sleepers HTTP/1.1\r\nHost: yard\r\n\r\n");
    ASSERT_TRUE(eventually(StopLimit, [&] {
        return !yard.journalLines("begin").empty();
    }));

    yard.process->signal(SIGTERM);
    // Work was still in flight.
    EXPECT_EQ(yard.process->wait(StopLimit), 1) << yard.process->output();
}

} // namespace fescuepond::test
