// Cancellation of calls whose caller has disconnected. Guards against backend servers that run queued or downstream
// calls whose result nobody receives. Non-idempotent calls are not cancelled.

#include "tests/support/fleet.h"
#include "tests/support/rawconnection.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <gtest/gtest.h>

#include <chrono>
#include <csignal>
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
  - {name: stock, method: GET, path: /stock/*, rank: 5, idempotent: true, deadline_ms: 8000, retries: 0}
  - {name: book, method: POST, path: /book/*, rank: 1, idempotent: false, deadline_ms: 8000, retries: 0}
)";
constexpr const char *Dispatch = R"(
service: dispatch
kinds:
  - {name: slots, method: GET, path: /slots/*, rank: 5, idempotent: true, deadline_ms: 8000, retries: 0}
)";
/// Service time of yard's backend server, which runs one call at a time.
constexpr auto ServiceTime = 1000ms;
/// A caller closes its connection after this time.
constexpr auto CallerTimeout = 300ms;

class Cancellation : public testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_EQ(m_fleet.publish({Yard, Dispatch}), 0);
        m_yard = &m_fleet.addNode({.name = "yard-a",
                                   .service = "yard",
                                   .backendFlags = {"--service_ms=" + std::to_string(ServiceTime.count()), "--fixed"},
                                   .settings = {"backend_threads: 1"}});
        m_dispatch = &m_fleet.addNode({.name = "dispatch-a",
                                       .service = "dispatch",
                                       .backendFlags = {"--service_ms=0", "--downstream=GET yard /stock/below"}});
        ASSERT_TRUE(m_fleet.waitUntilReady(2));
    }

    std::future<HttpReply> start(const HttpCall &call) const
    {
        return std::async(std::launch::async, [address = m_dispatch->front, call] {
            return sendHttp(address, call);
        });
    }

    /// Occupies the only thread for yard's backend server with one call.
    std::future<HttpReply> occupyYard() const
    {
        auto reply = start({.path = "/stock/first", .host = "yard"});
        std::this_thread::sleep_for(CallerTimeout / 2);
        return reply;
    }

    /// Waits until all calls sent to yard would have finished, then counts those that were run with `path`.
    std::size_t executionCount(const std::string &path) const
    {
        std::this_thread::sleep_for(3 * ServiceTime);
        std::size_t count = 0;
        for (const std::string &line : m_yard->journalLines("begin")) {
            count += line.find(path) == std::string::npos ? 0 : 1;
        }
        return count;
    }

    Fleet m_fleet;
    FleetNode *m_yard = nullptr;
    FleetNode *m_dispatch = nullptr;
};

} // namespace

TEST_F(Cancellation, QueuedCallIsNotRunAfterItsCallerDisconnects)
{
    auto first = occupyYard();
    EXPECT_EQ(start({.path = "/stock/second", .host = "yard", .timeout = CallerTimeout}).get().status, 0);
    EXPECT_EQ(first.get().outcome(), "answered");
    EXPECT_EQ(executionCount("/stock/second"), 0);
}

TEST_F(Cancellation, DownstreamCallIsNotRunAfterTheRootCallerDisconnects)
{
    auto first = occupyYard();
    EXPECT_EQ(start({.path = "/slots/monday", .host = "dispatch", .timeout = CallerTimeout}).get().status, 0);
    EXPECT_EQ(first.get().outcome(), "answered");
    EXPECT_EQ(executionCount("/stock/below"), 0);
    EXPECT_EQ(m_dispatch->journalLines("begin").size(), 1);
}

TEST_F(Cancellation, CallerThatHalfClosesItsConnectionIsToldThatItsCallWasNotRun)
{
    auto first = occupyYard();
    RawConnection connection(m_dispatch->front);
    connection.send("GET /stock/half HTTP/1.1\r\nHost: yard\r\n\r\n");
    connection.finishSending();
    const std::string &answer = connection.receiveUntil("\r\n\r\n", 3 * ServiceTime);
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 503")) << answer;
    EXPECT_NE(answer.find("X-Fescuepond-Outcome: not-run"), std::string::npos) << answer;
    EXPECT_EQ(first.get().outcome(), "answered");
    EXPECT_EQ(executionCount("/stock/half"), 0);
}

TEST_F(Cancellation, RequestIsNotRunIfItsCallerLeftBeforeTheNodeReadIt)
{
    m_dispatch->process->pause();
    {
        Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(m_dispatch->front)};
        const std::string request = "GET /stock/late HTTP/1.1\r\nHost: yard\r\n\r\n";
        socket.sendBytes(request.data(), static_cast<int>(request.size()));
    }
    m_dispatch->process->signal(SIGCONT);
    EXPECT_EQ(executionCount("/stock/late"), 0);
}

TEST_F(Cancellation, NonIdempotentCallIsRunAfterItsCallerDisconnects)
{
    auto first = occupyYard();
    const HttpCall book = {.method = "POST",
                           .path = "/book/monday",
                           .host = "yard",
                           .headers = {{"Idempotency-Key", "monday"}},
                           .timeout = CallerTimeout};
    EXPECT_EQ(start(book).get().status, 0);
    EXPECT_EQ(first.get().outcome(), "answered");
    EXPECT_EQ(executionCount("/book/monday"), 1);
}

} // namespace fescuepond::test
