// A backend server that answers many calls at once with bodies that have no end. Guards against a node that holds them
// all until it is over its memory and is killed, which ends every call of its VM without a response.

#include "tests/support/fleet.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <gtest/gtest.h>

#include <atomic>
#include <deque>
#include <future>
#include <string>
#include <thread>
#include <vector>

namespace fescuepond::test
{

namespace
{

using Poco::Net::StreamSocket;

constexpr const char *Yard = R"(
service: yard
kinds:
  - {name: stock, method: GET, path: /stock/*, rank: 5, idempotent: true, deadline_ms: 8000, retries: 0}
)";
constexpr std::size_t MemoryLimitMb = 160;

/// Answers each request with a chunked body that goes on until the connection is closed.
class EndlessServer
{
public:
    EndlessServer()
        : m_listener(Poco::Net::SocketAddress("127.0.0.1", 0))
        , m_thread([this] {
            acceptAll();
        })
    {
    }
    ~EndlessServer()
    {
        m_isStopped = true;
        m_thread.join();
        for (std::thread &thread : m_connections) {
            thread.join();
        }
    }
    std::string address() const
    {
        return m_listener.address().toString();
    }

private:
    void acceptAll()
    {
        while (!m_isStopped) {
            if (m_listener.poll(Poco::Timespan(0, 10'000), Poco::Net::Socket::SELECT_READ)) {
                m_connections.emplace_back([this, socket = m_listener.acceptConnection()]() mutable {
                    serve(socket);
                });
            }
        }
    }

    void serve(StreamSocket &socket)
    {
        const std::string chunk = "2710\r\n" + std::string(10'000, 'a') + "\r\n";
        std::string message = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        try {
            while (!m_isStopped && !socket.poll(Poco::Timespan(0, 10'000), Poco::Net::Socket::SELECT_READ)) { }
            while (!m_isStopped) {
                socket.sendBytes(message.data(), static_cast<int>(message.size()));
                message = chunk;
            }
        } catch (const Poco::Exception &) {
            // The node closed the connection.
        }
    }

    Poco::Net::ServerSocket m_listener;
    std::atomic<bool> m_isStopped = false;
    std::deque<std::thread> m_connections;
    std::thread m_thread;
};

} // namespace

TEST(EndlessResponses, ManyAtOnceKeepTheNodeWithinItsMemory)
{
    constexpr int Callers = 48;
    EndlessServer backend;
    Fleet fleet;
    ASSERT_EQ(fleet.publish({Yard}), 0);
    FleetNode &node = fleet.addNode({.name = "yard-a",
                                     .service = "yard",
                                     .settings = {"memory_limit_mb: " + std::to_string(MemoryLimitMb),
                                                  "max_body_bytes: 8388608",
                                                  "backend_slots: 99"},
                                     .backendAddress = backend.address()});
    ASSERT_TRUE(fleet.waitUntilReady(1));
    std::vector<std::future<HttpReply>> replies;
    replies.reserve(Callers);
    for (int i = 0; i < Callers; ++i) {
        replies.push_back(std::async(std::launch::async, [&] {
            return sendHttp(node.front, {.path = "/stock/a", .host = "yard"});
        }));
    }
    for (auto &reply : replies) {
        // The call may have run, so nothing else is promised.
        EXPECT_EQ(reply.get().outcome(), "outcome-unknown");
    }
    const std::size_t peak = node.process->peakMemoryMb();
    EXPECT_GT(peak, 0U);
    EXPECT_LT(peak, MemoryLimitMb);
    RecordProperty("peak_mb", static_cast<int>(peak));
    EXPECT_EQ(node.process->wait(std::chrono::milliseconds(0)), std::nullopt);
}

} // namespace fescuepond::test
