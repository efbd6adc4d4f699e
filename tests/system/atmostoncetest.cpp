// Requests with an idempotency key or ticket, with real processes. Guards against a second execution if the same key is
// submitted again, to the same node or another, while nodes, connections or the platform fail.

#include "tests/support/eventually.h"
#include "tests/support/fleet.h"
#include "tests/support/keyhistory.h"
#include "tests/support/relay.h"

#include <gtest/gtest.h>

#include <csignal>
#include <sstream>
#include <thread>

namespace fescuepond::test
{

namespace
{

constexpr const char *Dispatch = R"(
service: dispatch
kinds:
  - {name: book, method: POST, path: /book, rank: 5, idempotent: false, deadline_ms: 2000, retries: 2}
  - {name: slots, method: GET, path: /slots, rank: 5, idempotent: true, deadline_ms: 2000, retries: 2}
)";
constexpr const char *Yard = R"(
service: yard
kinds:
  - {name: pour, method: POST, path: /pour, rank: 5, idempotent: false, deadline_ms: 2000, retries: 2}
)";

HttpCall booking(const std::string &key)
{
    HttpCall call;
    call.method = "POST";
    call.host = "dispatch";
    call.path = "/book";
    call.body = key;
    return call;
}

HttpCall withKey(const std::string &key)
{
    HttpCall call = booking(key);
    call.headers["Idempotency-Key"] = key;
    return call;
}

HttpCall withTicket(const std::string &ticket)
{
    HttpCall call = booking(ticket);
    call.headers["X-Fescuepond-Ticket"] = ticket;
    return call;
}

std::string reasonOf(const HttpReply &reply)
{
    const auto found = reply.headers.find("x-fescuepond-reason");
    return found == reply.headers.end() ? "" : found->second;
}

} // namespace

/// Three nodes of the service dispatch, one per availability zone.
class AtMostOnce : public testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_EQ(m_fleet.publish({Dispatch, Yard}), 0);
        for (const char *zone : {"a", "b", "c"}) {
            m_nodes.push_back(&m_fleet.addNode({.name = std::string("dispatch-") + zone,
                                                .service = "dispatch",
                                                .zone = std::string("zone-") + zone,
                                                .backendFlags = {"--fixed", "--service_ms=20"}}));
        }
        ASSERT_TRUE(m_fleet.waitUntilReady(m_nodes.size()));
    }

    HttpReply send(const FleetNode &entry, const HttpCall &call)
    {
        HttpReply reply = sendHttp(entry.front, call);
        m_history.recordSubmission(call.body, reply);
        return reply;
    }

    /// Sends the same call to several nodes concurrently.
    void sendConcurrently(const std::vector<FleetNode *> &entries, const HttpCall &call)
    {
        std::vector<std::thread> callers;
        callers.reserve(entries.size());
        for (const FleetNode *entry : entries) {
            callers.emplace_back([this, entry, &call] {
                send(*entry, call);
            });
        }
        for (std::thread &caller : callers) {
            caller.join();
        }
    }

    std::string fetchTicket(const FleetNode &node) const
    {
        HttpCall call;
        call.path = "/.fescuepond/tickets";
        std::istringstream lines(sendHttp(node.front, call).body);
        std::string ticket;
        std::getline(lines, ticket);
        return ticket;
    }

    /// Number of calls of one operation that a node made to the platform for keys, from its metrics.
    static int platformCalls(const FleetNode &node, const std::string &operation)
    {
        HttpCall call;
        call.path = "/metrics";
        std::istringstream lines(sendHttp(node.operatorAddress, call).body);
        const std::string name = "fescuepond_key_platform_calls_total{operation=\"" + operation + "\"} ";
        std::string line;
        while (std::getline(lines, line)) {
            if (line.starts_with(name)) {
                return std::stoi(line.substr(name.size()));
            }
        }
        return 0;
    }

    void setServiceTime(int milliseconds) const
    {
        for (const FleetNode *node : m_nodes) {
            HttpCall call;
            call.method = "POST";
            call.path = "/set?service_ms=" + std::to_string(milliseconds);
            sendHttp(node->backendControl, call);
        }
    }

    void expectNoViolations() const
    {
        for (const std::string &violation : m_history.violations({m_nodes.begin(), m_nodes.end()})) {
            ADD_FAILURE() << violation;
        }
    }

    Fleet m_fleet;
    std::vector<FleetNode *> m_nodes;
    KeyHistory m_history;
};

TEST_F(AtMostOnce, SameKeySentToThreeZonesAtOnceRunsOnce)
{
    constexpr int Keys = 20;
    const int createsBefore = m_fleet.platformCallCounts()["put"];
    for (int i = 0; i < Keys; ++i) {
        sendConcurrently(m_nodes, withKey("key-" + std::to_string(i)));
    }
    expectNoViolations();
    EXPECT_EQ(m_history.outcomes()["answered"], 3 * Keys);
    // At most one conditional create per key and node.
    EXPECT_LE(m_fleet.platformCallCounts()["put"] - createsBefore, 3 * Keys);
}

TEST_F(AtMostOnce, SameTicketSentToThreeZonesAtOnceRunsOnceWithoutThePlatform)
{
    std::vector<std::string> tickets;
    for (const FleetNode *node : m_nodes) {
        tickets.push_back(fetchTicket(*node));
    }
    m_fleet.setPlatformMode("down=1");
    for (const std::string &ticket : tickets) {
        sendConcurrently(m_nodes, withTicket(ticket));
    }
    expectNoViolations();
    EXPECT_EQ(m_history.outcomes()["answered"], 9);
}

TEST_F(AtMostOnce, ResponsesCarryATicketForTheNextRequest)
{
    HttpCall read;
    read.host = "dispatch";
    read.path = "/slots";
    HttpReply reply = sendHttp(m_nodes[0]->front, read);
    ASSERT_TRUE(reply.headers.contains("x-fescuepond-ticket"));
    reply = send(*m_nodes[1], withTicket(reply.headers["x-fescuepond-ticket"]));
    EXPECT_EQ(reply.outcome(), "answered");
    EXPECT_TRUE(reply.headers.contains("x-fescuepond-ticket"));
    expectNoViolations();
}

TEST_F(AtMostOnce, ResendAfterACallerTimeoutGetsTheFirstResponse)
{
    setServiceTime(700);
    HttpCall callWithShortTimeout = withKey("slow-booking");
    callWithShortTimeout.timeout = std::chrono::milliseconds(200);
    EXPECT_EQ(send(*m_nodes[0], callWithShortTimeout).status, 0);
    EXPECT_EQ(send(*m_nodes[1], withKey("slow-booking")).outcome(), "answered");
    EXPECT_EQ(send(*m_nodes[2], withKey("slow-booking")).outcome(), "answered");
    expectNoViolations();
}

TEST_F(AtMostOnce, KeyOfAKilledOwnerHasAnUnknownOutcomeAndDoesNotRunAgain)
{
    const std::string ticket = fetchTicket(*m_nodes[0]);
    const std::string unused = fetchTicket(*m_nodes[0]);
    ASSERT_EQ(send(*m_nodes[0], withKey("opaque")).outcome(), "answered");
    ASSERT_EQ(send(*m_nodes[1], withTicket(ticket)).outcome(), "answered");
    m_nodes[0]->process->signal(SIGKILL);
    m_nodes[0]->process->wait(std::chrono::seconds(5));

    for (const HttpCall &call : {withKey("opaque"), withTicket(ticket), withTicket(unused)}) {
        for (const FleetNode *entry : {m_nodes[1], m_nodes[2]}) {
            const HttpReply reply = send(*entry, call);
            EXPECT_EQ(reply.outcome(), "outcome-unknown");
            EXPECT_EQ(reasonOf(reply), "key-home-gone");
        }
    }
    expectNoViolations();
    EXPECT_EQ(executionsByBody({m_nodes.begin(), m_nodes.end()})[unused], 0);
}

TEST_F(AtMostOnce, NewIncarnationAtTheSameAddressIsNotTheOwner)
{
    const std::string ticket = fetchTicket(*m_nodes[0]);
    ASSERT_EQ(send(*m_nodes[0], withTicket(ticket)).outcome(), "answered");
    m_nodes[0]->process->signal(SIGKILL);
    m_nodes[0]->process->wait(std::chrono::seconds(5));
    m_fleet.restartNode(*m_nodes[0]);
    ASSERT_TRUE(m_fleet.waitUntilReady(m_nodes.size()));
    EXPECT_EQ(reasonOf(send(*m_nodes[0], withTicket(ticket))), "key-home-gone");
    expectNoViolations();
}

TEST_F(AtMostOnce, CallerChosenKeysAreRejectedAsNotRunDuringAPlatformOutage)
{
    ASSERT_EQ(send(*m_nodes[0], withKey("before")).outcome(), "answered");
    m_fleet.setPlatformMode("down=1");
    EXPECT_EQ(send(*m_nodes[0], withKey("before")).outcome(), "answered");
    const HttpReply refused = send(*m_nodes[1], withKey("during"));
    EXPECT_EQ(refused.outcome(), "not-run");
    EXPECT_EQ(reasonOf(refused), "platform-unavailable");
    expectNoViolations();
    m_fleet.setPlatformMode("");
    EXPECT_EQ(send(*m_nodes[2], withKey("during")).outcome(), "answered");
    expectNoViolations();
}

TEST_F(AtMostOnce, EveryCallerGetsAnOutcomeInTimeWhileThePlatformIsSlow)
{
    constexpr int Keys = 40;
    m_fleet.setPlatformMode("slow=1500");
    std::vector<std::thread> callers;
    callers.reserve(Keys);
    for (int i = 0; i < Keys; ++i) {
        callers.emplace_back([this, i] {
            HttpCall call = withKey("slow-" + std::to_string(i));
            // Twice the deadline of the kind (2 s).
            call.timeout = std::chrono::seconds(4);
            send(*m_nodes[0], call);
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    EXPECT_EQ(m_history.outcomes()["not-run"], Keys);
    expectNoViolations();
}

TEST_F(AtMostOnce, LostResponseToTheCreateIsResolvedByReadingTheObject)
{
    m_fleet.setPlatformMode("lose=1");
    EXPECT_EQ(send(*m_nodes[0], withKey("lost")).outcome(), "answered");
    EXPECT_EQ(send(*m_nodes[1], withKey("lost")).outcome(), "answered");
    expectNoViolations();
}

TEST_F(AtMostOnce, OnlyThePausedOwnerRunsItsKeysAfterItResumes)
{
    const std::string used = fetchTicket(*m_nodes[0]);
    const std::string unused = fetchTicket(*m_nodes[0]);
    ASSERT_EQ(send(*m_nodes[0], withTicket(used)).outcome(), "answered");
    m_nodes[0]->process->pause();
    EXPECT_EQ(send(*m_nodes[1], withTicket(used)).outcome(), "outcome-unknown");
    EXPECT_EQ(send(*m_nodes[2], withTicket(unused)).outcome(), "outcome-unknown");
    EXPECT_EQ(executionsByBody({m_nodes.begin(), m_nodes.end()})[unused], 0);
    m_nodes[0]->process->signal(SIGCONT);
    EXPECT_EQ(send(*m_nodes[1], withTicket(used)).outcome(), "answered");
    EXPECT_EQ(send(*m_nodes[2], withTicket(unused)).outcome(), "answered");
    EXPECT_EQ(send(*m_nodes[0], withTicket(unused)).outcome(), "answered");
    expectNoViolations();
}

TEST_F(AtMostOnce, PlannedStopTransfersTheRecordsToASuccessor)
{
    const std::string used = fetchTicket(*m_nodes[0]);
    const std::string unused = fetchTicket(*m_nodes[0]);
    ASSERT_EQ(send(*m_nodes[0], withTicket(used)).outcome(), "answered");
    ASSERT_EQ(send(*m_nodes[0], withKey("opaque")).outcome(), "answered");
    m_nodes[0]->process->signal(SIGTERM);
    EXPECT_EQ(m_nodes[0]->process->wait(std::chrono::seconds(20)), 0);

    m_fleet.setPlatformMode("down=1");
    sendConcurrently({m_nodes[1], m_nodes[2]}, withTicket(used));
    sendConcurrently({m_nodes[1], m_nodes[2]}, withTicket(unused));
    m_fleet.setPlatformMode("");
    sendConcurrently({m_nodes[1], m_nodes[2]}, withKey("opaque"));
    expectNoViolations();
    EXPECT_EQ(m_history.outcomes()["answered"], 8);
}

TEST_F(AtMostOnce, KeyWhoseBindingWasLostInARestoreOfThePlatformDoesNotRunAgain)
{
    m_fleet.controlPlatform("/copy");
    ASSERT_EQ(send(*m_nodes[0], withKey("lost")).outcome(), "answered");
    m_fleet.controlPlatform("/restore");
    // The other nodes are the first ones to call the restored platform.
    sendConcurrently({m_nodes[1], m_nodes[2]}, withKey("lost"));
    EXPECT_TRUE(eventually(std::chrono::seconds(30), [&] {
        return send(*m_nodes[1], withKey("lost")).outcome() == "answered"
            && send(*m_nodes[2], withKey("lost")).outcome() == "answered";
    }));
    EXPECT_EQ(send(*m_nodes[1], withKey("new")).outcome(), "answered") << "new keys are accepted again";
    expectNoViolations();
}

/// Adds a fourth node, the owner of keys, which the others reach through a relay that can disconnect it.
class AtMostOnceBehindRelay : public AtMostOnce
{
protected:
    void SetUp() override
    {
        AtMostOnce::SetUp();
        m_owner = &m_fleet.addNode({.name = "dispatch-d",
                                    .service = "dispatch",
                                    .zone = "zone-d",
                                    .backendFlags = {"--fixed", "--service_ms=20"},
                                    .settings = {"peer_advertised_address: " + m_relay.address()}});
        m_relay.setTarget(m_owner->peer);
        m_nodes.push_back(m_owner);
        ASSERT_TRUE(m_fleet.waitUntilReady(m_nodes.size()));
    }

    Relay m_relay;
    FleetNode *m_owner = nullptr;
};

TEST_F(AtMostOnceBehindRelay, KeyOfAnUnreachableOwnerIsUnknownElsewhereAndAnsweredAfterwards)
{
    const std::string used = fetchTicket(*m_owner);
    const std::string unused = fetchTicket(*m_owner);
    ASSERT_EQ(send(*m_nodes[0], withTicket(used)).outcome(), "answered");
    m_relay.setTarget("");
    m_relay.closeConnections();
    EXPECT_EQ(reasonOf(send(*m_nodes[0], withTicket(used))), "key-home-gone");
    EXPECT_EQ(reasonOf(send(*m_nodes[1], withTicket(unused))), "key-home-gone");
    EXPECT_EQ(send(*m_owner, withTicket(unused)).outcome(), "answered");
    m_relay.setTarget(m_owner->peer);
    EXPECT_EQ(send(*m_nodes[1], withTicket(unused)).outcome(), "answered");
    EXPECT_EQ(send(*m_nodes[2], withTicket(used)).outcome(), "answered");
    expectNoViolations();
}

TEST_F(AtMostOnceBehindRelay, LostConnectionToTheOwnerIsHiddenFromTheCaller)
{
    const std::string ticket = fetchTicket(*m_owner);
    setServiceTime(800);
    std::thread cutter([this] {
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        m_relay.closeConnections();
    });
    EXPECT_EQ(send(*m_nodes[0], withTicket(ticket)).outcome(), "answered");
    cutter.join();
    expectNoViolations();
}

TEST_F(AtMostOnce, TwoNodesStoppingAtOnceTransferTheirRecordsToTheThird)
{
    std::vector<std::string> tickets;
    for (const FleetNode *leaving : {m_nodes[0], m_nodes[1]}) {
        tickets.push_back(fetchTicket(*leaving));
        ASSERT_EQ(send(*leaving, withTicket(tickets.back())).outcome(), "answered");
        tickets.push_back(fetchTicket(*leaving));
    }
    m_nodes[0]->process->signal(SIGTERM);
    m_nodes[1]->process->signal(SIGTERM);
    EXPECT_EQ(m_nodes[0]->process->wait(std::chrono::seconds(20)), 0);
    EXPECT_EQ(m_nodes[1]->process->wait(std::chrono::seconds(20)), 0);
    for (const std::string &ticket : tickets) {
        EXPECT_EQ(send(*m_nodes[2], withTicket(ticket)).outcome(), "answered");
    }
    expectNoViolations();
}

TEST_F(AtMostOnce, ManyLargeRecordsAreTransferred)
{
    constexpr int Keys = 150;
    const std::string padding(20'000, 'x');
    std::vector<HttpCall> calls;
    for (int i = 0; i < Keys; ++i) {
        calls.push_back(withTicket(fetchTicket(*m_nodes[0])));
        // The stand-in's response contains the body, so that each record is about 20 kB.
        calls.back().body += "-" + padding;
        ASSERT_EQ(send(*m_nodes[0], calls.back()).outcome(), "answered");
    }
    m_nodes[0]->process->signal(SIGTERM);
    EXPECT_EQ(m_nodes[0]->process->wait(std::chrono::seconds(20)), 0);
    for (const HttpCall &call : calls) {
        EXPECT_EQ(send(*m_nodes[1], call).outcome(), "answered");
    }
    expectNoViolations();
}

TEST_F(AtMostOnce, NodeStartedAfterATransferFindsTheSuccessor)
{
    const std::string used = fetchTicket(*m_nodes[0]);
    ASSERT_EQ(send(*m_nodes[0], withTicket(used)).outcome(), "answered");
    m_nodes[0]->process->signal(SIGTERM);
    EXPECT_EQ(m_nodes[0]->process->wait(std::chrono::seconds(20)), 0);
    m_fleet.restartNode(*m_nodes[0]);
    ASSERT_TRUE(m_fleet.waitUntilReady(m_nodes.size()));
    EXPECT_EQ(send(*m_nodes[0], withTicket(used)).outcome(), "answered");
    expectNoViolations();
}

TEST_F(AtMostOnce, PlatformCallsForEachKeyedRequestAreCounted)
{
    send(*m_nodes[0], withKey("counted"));
    EXPECT_EQ(platformCalls(*m_nodes[0], "create"), 1);
    EXPECT_EQ(platformCalls(*m_nodes[0], "read"), 0);
    send(*m_nodes[0], withKey("counted"));
    EXPECT_EQ(platformCalls(*m_nodes[0], "create"), 1);
    send(*m_nodes[1], withKey("counted"));
    EXPECT_EQ(platformCalls(*m_nodes[1], "create"), 1);
    EXPECT_EQ(platformCalls(*m_nodes[1], "read"), 1);
    send(*m_nodes[1], withKey("counted"));
    EXPECT_EQ(platformCalls(*m_nodes[1], "read"), 1);
    send(*m_nodes[2], withTicket(fetchTicket(*m_nodes[0])));
    send(*m_nodes[2], booking("no-key"));
    EXPECT_EQ(platformCalls(*m_nodes[2], "create"), 0);
    EXPECT_EQ(platformCalls(*m_nodes[2], "read"), 0);
    expectNoViolations();
}

TEST_F(AtMostOnce, KeyIsRejectedForADifferentRequest)
{
    ASSERT_EQ(send(*m_nodes[0], withKey("one")).outcome(), "answered");
    HttpCall other = withKey("one");
    other.body = "other";
    const HttpReply reply = send(*m_nodes[1], other);
    EXPECT_EQ(reply.status, 400);
    EXPECT_EQ(reply.outcome(), "not-run");
    EXPECT_EQ(sendHttp(m_nodes[1]->front, withTicket("no ticket")).status, 400);
    expectNoViolations();
}

TEST_F(AtMostOnce, ChildCallResentByTheBackendServerRunsOnce)
{
    const FleetNode &yard = m_fleet.addNode({.name = "yard-a", .service = "yard", .backendFlags = {"--service_ms=5"}});
    ASSERT_TRUE(m_fleet.waitUntilReady(m_nodes.size() + 1));
    setServiceTime(1000);
    std::thread parent([this] {
        send(*m_nodes[0], withKey("parent"));
    });
    std::string callId;
    const FleetNode *target = nullptr;
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (callId.empty() && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        for (const FleetNode *node : m_nodes) {
            for (const std::string &line : node->journalLines("begin")) {
                std::istringstream words(line);
                words >> callId >> callId;
                target = node;
            }
        }
    }
    ASSERT_NE(target, nullptr);
    HttpCall child;
    child.method = "POST";
    child.host = "yard";
    child.path = "/pour";
    child.headers["X-Fescuepond-Call"] = callId;
    const HttpReply first = sendHttp(target->local, child);
    const HttpReply second = sendHttp(target->local, child);
    EXPECT_EQ(first.outcome(), "answered");
    EXPECT_EQ(second.outcome(), "answered");
    EXPECT_EQ(yard.journalLines("begin").size(), 1);
    // An idempotency key set by the backend server distinguishes two intended calls with equal content.
    child.headers["Idempotency-Key"] = "second truck";
    EXPECT_EQ(sendHttp(target->local, child).outcome(), "answered");
    EXPECT_EQ(yard.journalLines("begin").size(), 2);
    parent.join();
    // The parent has finished and its record of child calls is deleted, so that further child calls are rejected.
    EXPECT_EQ(sendHttp(target->local, child).outcome(), "not-run");
    EXPECT_EQ(yard.journalLines("begin").size(), 2);
    expectNoViolations();
}

} // namespace fescuepond::test
