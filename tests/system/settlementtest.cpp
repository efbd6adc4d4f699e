// Settlement with real processes. Guards against a wrong outcome, or a second execution, if the connection between two
// nodes is closed, goes silent, or truncates, duplicates or corrupts a response.

#include "tests/support/fleet.h"
#include "tests/support/relay.h"

#include <gtest/gtest.h>

#include <future>
#include <thread>

namespace fescuepond::test
{

namespace
{

using namespace std::chrono_literals;

constexpr const char *Yard = R"(
service: yard
kinds:
  - {name: stock, method: GET, path: /stock/*, rank: 5, idempotent: true, deadline_ms: 4000, retries: 0}
  - {name: book, method: POST, path: /book/*, rank: 1, idempotent: false, deadline_ms: 4000, retries: 0}
)";
constexpr const char *Dispatch = R"(
service: dispatch
kinds:
  - {name: slots, method: GET, path: /slots/*, rank: 5, idempotent: true, deadline_ms: 4000, retries: 0}
)";
/// Time after which a call that was sent is running at the backend server; well below the service time of 1000 ms.
constexpr auto DelayUntilRunning = 300ms;

/// Callers use the node of dispatch, which reaches the node of yard through a relay.
class Settlement : public testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_EQ(m_fleet.publish({Yard, Dispatch}), 0);
        m_yard = &m_fleet.addNode({.name = "yard-a",
                                   .service = "yard",
                                   .backendFlags = {"--service_ms=1000", "--fixed"},
                                   .settings = {"peer_advertised_address: " + m_relay.address()}});
        m_relay.setTarget(m_yard->peer);
        m_entry = &m_fleet.addNode({.name = "dispatch-a", .service = "dispatch"});
        ASSERT_TRUE(m_fleet.waitUntilReady(2));
        setServiceMs(0);
        ASSERT_EQ(read().outcome(), "answered");
        setServiceMs(1000);
    }

    void setServiceMs(int milliseconds) const
    {
        HttpCall call;
        call.method = "POST";
        call.path = "/set?service_ms=" + std::to_string(milliseconds);
        sendHttp(m_yard->backendControl, call);
    }

    HttpReply read(const std::string &path = "/stock/sleepers") const
    {
        HttpCall call;
        call.host = "yard";
        call.path = path;
        return sendHttp(m_entry->front, call);
    }

    std::future<HttpReply> book(const std::string &name) const
    {
        HttpCall call;
        call.method = "POST";
        call.host = "yard";
        call.path = "/book/" + name;
        call.headers["Idempotency-Key"] = "key-of-" + name;
        call.body = "two trucks";
        return std::async(std::launch::async, [address = m_entry->front, call] {
            return sendHttp(address, call);
        });
    }

    std::size_t executionCount(const std::string &name) const
    {
        std::size_t count = 0;
        for (const std::string &line : m_yard->journalLines("begin")) {
            count += line.find("/book/" + name) == std::string::npos ? 0 : 1;
        }
        return count;
    }

    Relay m_relay;
    Fleet m_fleet;
    FleetNode *m_yard = nullptr;
    FleetNode *m_entry = nullptr;
};

} // namespace

TEST_F(Settlement, ResponseIsFetchedIfTheConnectionIsClosedWhileTheCallRuns)
{
    auto reply = book("monday");
    std::this_thread::sleep_for(DelayUntilRunning);
    m_relay.closeConnections();
    const HttpReply received = reply.get();
    EXPECT_EQ(received.outcome(), "answered") << received.body;
    EXPECT_NE(received.body.find("/book/monday"), std::string::npos) << received.body;
    EXPECT_EQ(executionCount("monday"), 1);
}

TEST_F(Settlement, ResponseIsFetchedIfTheConnectionGoesSilentWhileTheCallRuns)
{
    auto reply = book("tuesday");
    std::this_thread::sleep_for(DelayUntilRunning);
    m_relay.stall(Direction::ToCaller);
    EXPECT_EQ(reply.get().outcome(), "answered");
    EXPECT_EQ(executionCount("tuesday"), 1);
    setServiceMs(0);
    EXPECT_EQ(read().outcome(), "answered");
}

TEST_F(Settlement, CallReportedAsNotRunIsFencedIfItArrivesLater)
{
    m_relay.stall(Direction::ToTarget);
    const HttpReply received = book("wednesday").get();
    EXPECT_EQ(received.outcome(), "not-run") << received.body;
    m_relay.resume();
    std::this_thread::sleep_for(1s);
    EXPECT_EQ(executionCount("wednesday"), 0);
}

TEST_F(Settlement, CallThatArrivesAfterItsDeadlineAndAfterItsFenceIsNotRun)
{
    m_relay.stall(Direction::ToTarget);
    EXPECT_EQ(book("thursday").get().outcome(), "not-run");
    std::this_thread::sleep_for(5500ms);
    m_relay.resume();
    std::this_thread::sleep_for(1s);
    EXPECT_EQ(executionCount("thursday"), 0);
}

TEST_F(Settlement, NewIncarnationOfTheTargetDoesNotReportACallAsNotRun)
{
    auto reply = book("friday");
    std::this_thread::sleep_for(DelayUntilRunning);
    m_fleet.restartNode(*m_yard);
    m_relay.setTarget(m_yard->peer);
    EXPECT_EQ(reply.get().outcome(), "outcome-unknown");
    EXPECT_EQ(executionCount("friday"), 1);
}

TEST_F(Settlement, CorruptedResponseIsFetchedAgain)
{
    m_relay.corruptResponses("/book/saturday", "/book/holidays");
    auto reply = book("saturday");
    std::this_thread::sleep_for(DelayUntilRunning);
    // The first response is sent 1 s after the start of the call. The relay corrupts it, and also the responses to
    // requests for its outcome until the corruption ends here.
    std::this_thread::sleep_for(1s);
    m_relay.corruptResponses("", "");
    const HttpReply received = reply.get();
    EXPECT_EQ(received.outcome(), "answered") << received.body;
    EXPECT_NE(received.body.find("/book/saturday"), std::string::npos) << received.body;
    EXPECT_EQ(executionCount("saturday"), 1);
}

TEST_F(Settlement, TruncatedAndDuplicatedResponsesNeverReachACaller)
{
    setServiceMs(0);
    m_relay.truncateResponsesAfter(700);
    for (int i = 0; i < 10; ++i) {
        const HttpReply received = read();
        EXPECT_NE(received.outcome(), "") << received.status;
        if (received.outcome() == "answered") {
            EXPECT_NE(received.body.find("/stock/sleepers"), std::string::npos) << received.body;
        }
    }
    m_relay.truncateResponsesAfter(0);
    m_relay.setDuplicatesResponses(true);
    for (int i = 0; i < 10; ++i) {
        const HttpReply received = read("/stock/ballast-" + std::to_string(i));
        EXPECT_NE(received.outcome(), "");
        if (received.outcome() == "answered") {
            EXPECT_NE(received.body.find("ballast-" + std::to_string(i) + " "), std::string::npos) << received.body;
        }
    }
    m_relay.setDuplicatesResponses(false);
    m_relay.closeConnections();
    EXPECT_EQ(read().outcome(), "answered");
}

} // namespace fescuepond::test
