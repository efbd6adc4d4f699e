// End-to-end path of a request in the platform's environment. Guards against requests that reach a target before it has
// reported or after it has deregistered, against a retry of a non-idempotent request that may have been run, against
// internal headers that a caller forges, and against a node that is reported as ready while it drains.

#include "tests/platform/fleetenvironment.h"
#include "tests/support/rawconnection.h"

#include <gtest/gtest.h>

#include <csignal>
#include <future>
#include <thread>

namespace fescuepond::test
{

TEST_F(FleetEnvironment, TimeThatARequestWaitsToBeReadIsNotGivenToTheTarget)
{
    EXPECT_EQ(report(1, "ready").status, 200);
    std::vector<std::unique_ptr<RawConnection>> slow;
    for (int i = 0; i < 64; ++i) {
        slow.push_back(std::make_unique<RawConnection>(m_entry));
        slow.back()->send("GET /read/slow HTTP/1.1\r\n");
    }
    std::this_thread::sleep_for(milliseconds(100));
    // A request that arrives in two parts is read once the second one is there.
    RawConnection late(m_entry);
    late.send("GET /read/x HTTP/1.1\r\nHost: a.example\r\n");
    std::this_thread::sleep_for(milliseconds(850));
    EXPECT_EQ(m_target.m_requests, 0);
    late.send("Fescuepond-Attempt-Id: a1\r\nFescuepond-Deadline-Ms: 1500\r\n\r\n");
    EXPECT_TRUE(late.receiveUntil("\r\n", MaxWait).starts_with("HTTP/1.1 200"));
    EXPECT_LE(std::stoi(m_target.header("Fescuepond-Deadline-Ms")), 700);
}

TEST_F(FleetEnvironment, IncompleteRequestsDoNotDelayOneThatHasArrivedWhole)
{
    EXPECT_EQ(report(1, "ready").status, 200);
    const std::string head = "POST /read/slow HTTP/1.1\r\nHost: a.example\r\nFescuepond-Attempt-Id: a2\r\n";
    const std::vector<std::string> incomplete = {
        head,
        "\r\n\r\n" + head,
        head + "Content-Length: 10\r\n\r\n12345",
        head + "content-length:10\r\n\r\n",
        head + "Transfer-Encoding: chunked\r\n\r\n4\r\n12",
        head + "Expect: 100-continue\r\nContent-Length: 10\r\n\r\n",
    };
    constexpr int ConnectionsEach = 12;
    std::vector<std::unique_ptr<RawConnection>> slow;
    for (const std::string &bytes : incomplete) {
        for (int i = 0; i < ConnectionsEach; ++i) {
            slow.push_back(std::make_unique<RawConnection>(m_entry));
            slow.back()->send(bytes);
        }
    }
    std::this_thread::sleep_for(milliseconds(100));
    // The incomplete requests are closed after 5 s, which is longer than the caller of this one waits.
    EXPECT_EQ(send("/read/x", "body").status, 200);
    EXPECT_EQ(m_target.m_requests, 1);
}

TEST_F(FleetEnvironment, ARequestReachesTheTargetOnceItHasReported)
{
    EXPECT_EQ(send("/read/x").status, 503);
    EXPECT_EQ(m_target.m_requests, 0);
    EXPECT_EQ(report(1, "ready").status, 200);
    const HttpReply reply = send("/read/x", "body");
    EXPECT_EQ(reply.status, 200);
    EXPECT_EQ(reply.body, "body");
    EXPECT_EQ(reply.headers.at("fescuepond-response-signature"), "s");
    EXPECT_EQ(m_target.header("fescuepond-attempt-id"), "a1");
    EXPECT_EQ(m_target.header("Fescuepond-Caller-Service"), "yard");
    EXPECT_EQ(m_target.header("Fescuepond-Expect-Instance"), "i-1");
    EXPECT_LE(std::stoi(m_target.header("Fescuepond-Deadline-Ms")), 1500);
    EXPECT_EQ(m_target.header("Host"), "a.example");
    EXPECT_EQ(send("/nowhere/x").status, 404);
}

TEST_F(FleetEnvironment, AReportThatCannotBeReadChangesNothing)
{
    EXPECT_EQ(sendHttp(m_registration, {.method = "PUT", .path = "/instances/i-1", .body = "{\"state\":"}).status, 400);
    EXPECT_EQ(send("/read/x").status, 503);
    EXPECT_EQ(m_target.m_requests, 0);
}

TEST_F(FleetEnvironment, OnlyRequestsNotRunGetRetryAfter)
{
    report(1, "ready");
    m_target.m_rejects = true;
    const HttpReply rejected = send("/book/x", "body");
    EXPECT_EQ(rejected.status, 503);
    EXPECT_EQ(rejected.headers.count("retry-after"), 1);
    EXPECT_EQ(rejected.headers.count("fescuepond-response-signature"), 0);
    m_target.m_rejects = false;
    // A request whose success response has no signature may have been run, so it is not retried.
    m_target.m_omitsSignature = true;
    const int before = m_target.m_requests;
    EXPECT_EQ(send("/book/x", "body").status, 502);
    EXPECT_EQ(m_target.m_requests, before + 1);
}

TEST_F(FleetEnvironment, ATargetGetsNoMoreRequestsThanTheLimitThatItNames)
{
    EXPECT_EQ(report(1, "ready").status, 200);
    m_target.m_noticeName = "Server-Limit";
    m_target.m_noticeValue = "10";
    EXPECT_EQ(send("/read/first").status, 200);
    std::vector<std::future<HttpReply>> replies;
    for (int i = 0; i < 100; ++i) {
        replies.push_back(std::async(std::launch::async, [this] {
            return send("/read/x");
        }));
        std::this_thread::sleep_for(milliseconds(20));
    }
    int refused = 0;
    for (auto &reply : replies) {
        refused += reply.get().status == 503 ? 1 : 0;
    }
    // 2 s of sending, and 1 s in which requests that are queued still start.
    EXPECT_LE(m_target.m_requests, 1 + 10 * 3 + 3);
    EXPECT_GE(m_target.m_requests, 20);
    EXPECT_EQ(refused, 101 - m_target.m_requests);
    m_target.m_noticeName = nullptr;
    EXPECT_TRUE(eventually(MaxWait, [this] {
        return send("/read/y").status == 200;
    }));
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(send("/read/z").status, 200) << "the limit has ended";
    }
}

TEST_F(FleetEnvironment, ATargetThatSaysThatItLeavesGetsNoNewRequests)
{
    EXPECT_EQ(report(1, "ready").status, 200);
    m_target.m_noticeName = "Server-Leaving";
    m_target.m_noticeValue = "1";
    EXPECT_EQ(send("/read/x").status, 200);
    // Its reports don't take that back.
    EXPECT_EQ(report(2, "ready").status, 200);
    std::this_thread::sleep_for(seconds(2));
    const int before = m_target.m_requests;
    EXPECT_EQ(send("/read/y").status, 503);
    EXPECT_EQ(m_target.m_requests, before);
}

TEST_F(FleetEnvironment, ATargetThatDeregistersGetsNoNewRequests)
{
    report(1, "ready");
    EXPECT_EQ(send("/read/x").status, 200);
    EXPECT_EQ(sendHttp(m_registration, deregistrationCall()).status, 200);
    std::this_thread::sleep_for(seconds(2));
    const int before = m_target.m_requests;
    EXPECT_EQ(send("/read/x").status, 503);
    EXPECT_EQ(m_target.m_requests, before);
}

TEST_F(FleetEnvironment, ALateReportDoesNotUndoADepartureThatARestartedNodeAcknowledged)
{
    // The target has reported to an earlier process of the node only.
    EXPECT_EQ(sendHttp(m_registration, deregistrationCall()).status, 200);
    EXPECT_EQ(report(7, "ready").status, 200);
    EXPECT_EQ(send("/read/x").status, 503);
    std::this_thread::sleep_for(seconds(2));
    EXPECT_EQ(send("/read/x").status, 503);
    EXPECT_EQ(m_target.m_requests, 0);
}

TEST_F(FleetEnvironment, ACallerThatDisconnectsCancelsIdempotentWork)
{
    report(1, "ready");
    m_target.m_holdsRequests = true;
    HttpCall call;
    call.path = "/read/x";
    call.host = "a.example";
    call.headers = {{"Fescuepond-Attempt-Id", "a1"}, {"Fescuepond-Deadline-Ms", "20000"}};
    call.timeout = milliseconds(400);
    EXPECT_EQ(sendHttp(m_entry, call).status, 0);
    EXPECT_TRUE(eventually(MaxWait, [this] {
        return m_target.m_wasDisconnected.load();
    }));
}

TEST_F(FleetEnvironment, ChangedSettingsAreReportedAndNoWorkIsInterrupted)
{
    report(1, "ready");
    writeSettings("http_threads: 33\n");
    m_node->signal(SIGHUP);
    EXPECT_NE(m_node->waitForLine("event=settings_changed").find("keys=http_threads"), std::string::npos);
    EXPECT_EQ(send("/read/x").status, 200);
    writeSettings("http_threads: many\n");
    m_node->signal(SIGHUP);
    EXPECT_NE(m_node->waitForLine("event=settings_unusable").find("http_threads"), std::string::npos);
    EXPECT_EQ(send("/read/x").status, 200);
}

TEST_F(FleetEnvironment, ANodeThatDrainsIsNotReadyAndExitsCleanly)
{
    report(1, "ready");
    m_node->signal(SIGTERM);
    EXPECT_TRUE(eventually(MaxWait, [this] {
        return sendHttp(m_readiness, {.path = "/ready"}).status != 200;
    }));
    EXPECT_EQ(m_node->wait(MaxWait), std::optional<int>(0));
}

} // namespace fescuepond::test
