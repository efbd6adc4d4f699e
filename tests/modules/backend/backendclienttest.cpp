// The client of the backend server, against a server that answers with the bytes that a test gives it.

#include "modules/backend/backendclient.h"

#include "core/kernel/strategy.h"
#include "core/kernel/workerpool.h"
#include "tests/support/relay.h"

#include <Poco/Net/ServerSocket.h>

#include <gtest/gtest.h>

#include <atomic>
#include <deque>
#include <functional>
#include <future>
#include <mutex>
#include <thread>

namespace fescuepond
{

namespace
{

using namespace std::chrono_literals;
using Poco::Net::StreamSocket;

/// What the server does with a connection once it has read a request.
using Script = std::function<void(StreamSocket &)>;

Script answerWith(const std::string &bytes)
{
    return [bytes](StreamSocket &socket) {
        socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    };
}

Script answerAndClose(const std::string &bytes)
{
    return [bytes](StreamSocket &socket) {
        socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        socket.close();
    };
}

/// Serves one connection after the other. Each request is handled by the next script; the last one repeats.
class ScriptedServer
{
public:
    explicit ScriptedServer(std::deque<Script> scripts)
        : m_scripts(std::move(scripts))
        , m_listener(Poco::Net::SocketAddress("127.0.0.1", 0))
        , m_thread([this] {
            acceptAll();
        })
    {
    }
    ~ScriptedServer()
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
    int requests() const
    {
        return m_requests;
    }
    int connections() const
    {
        return m_connectionCount;
    }

private:
    void acceptAll()
    {
        while (!m_isStopped) {
            if (!m_listener.poll(Poco::Timespan(0, 10'000), Poco::Net::Socket::SELECT_READ)) {
                continue;
            }
            ++m_connectionCount;
            m_connections.emplace_back([this, socket = m_listener.acceptConnection()]() mutable {
                serve(socket);
            });
        }
    }

    void serve(StreamSocket &socket)
    {
        try {
            std::string received;
            while (!m_isStopped && socket.impl()->initialized()) {
                if (!socket.poll(Poco::Timespan(0, 10'000), Poco::Net::Socket::SELECT_READ)) {
                    continue;
                }
                char byte = 0;
                if (socket.receiveBytes(&byte, 1) <= 0) {
                    return;
                }
                received.push_back(byte);
                if (received.ends_with("\r\n\r\n")) {
                    received.clear();
                    ++m_requests;
                    nextScript()(socket);
                }
            }
        } catch (const Poco::Exception &) {
            // The client has closed the connection.
        }
    }

    Script nextScript()
    {
        const std::lock_guard guard(m_mutex);
        Script script = m_scripts.front();
        if (m_scripts.size() > 1) {
            m_scripts.pop_front();
        }
        return script;
    }

    std::mutex m_mutex;
    std::deque<Script> m_scripts;
    Poco::Net::ServerSocket m_listener;
    std::atomic<bool> m_isStopped = false;
    std::atomic<int> m_requests = 0;
    std::atomic<int> m_connectionCount = 0;
    std::deque<std::thread> m_connections;
    std::thread m_thread;
};

class BackendClientTest : public testing::Test
{
protected:
    BackendClientTest()
        : m_pool({1, 1, 1, 1})
        , m_timers(m_clock, &m_pool)
    {
        m_timers.start();
        boost::leaf::try_handle_all(
            [this]() -> Result<void> {
                BOOST_LEAF_ASSIGN(m_dialect, makeStrategy<BackendDialect>("plain"));
                return {};
            },
            [] {});
    }

    CallRequest call(Duration limit = 5s, bool isIdempotent = false) const
    {
        const CallContext context = CallContext().withIdempotent(isIdempotent).withDeadline(m_clock.now() + limit);
        return CallRequest().withContext(context).withService("yard").withMethod("GET").withPath("/");
    }
    BackendClient clientOf(const ScriptedServer &server)
    {
        return BackendClient(server.address(), MaxBodyBytes, *m_dialect, m_timers);
    }
    CallOutcome answerTo(const std::string &bytes)
    {
        ScriptedServer server({answerAndClose(bytes)});
        return clientOf(server).run(call(), {});
    }

    static constexpr std::size_t MaxBodyBytes = 1000;

    std::unique_ptr<BackendDialect> m_dialect;
    SteadyClock m_clock;
    WorkerPool m_pool;
    TimerService m_timers;
};

const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
const std::string second = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond";

} // namespace

TEST_F(BackendClientTest, WholeAnswersOfEachKindAreTaken)
{
    EXPECT_EQ(answerTo(whole).body().bytes(), "first");
    EXPECT_EQ(
        answerTo("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nA: b\r\n\r\n")
            .body()
            .bytes(),
        "abcde");
    EXPECT_EQ(answerTo("HTTP/1.0 200 OK\r\n\r\nuntil the end").body().bytes(), "until the end");
    EXPECT_EQ(answerTo("HTTP/1.1 103 Early Hints\r\n\r\n" + whole).body().bytes(), "first");
    EXPECT_EQ(answerTo("HTTP/1.1 204 No Content\r\n\r\n").status(), 204);
}

TEST_F(BackendClientTest, AnswersMayHoldEveryByteValue)
{
    std::string bytes;
    for (int value = 0; value < 256; ++value) {
        bytes.push_back(static_cast<char>(value));
    }
    EXPECT_EQ(answerTo("HTTP/1.1 200 OK\r\nContent-Length: 256\r\n\r\n" + bytes).body().bytes(), bytes);
    EXPECT_EQ(answerTo("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n100\r\n" + bytes + "\r\n0\r\n\r\n")
                  .body()
                  .bytes(),
              bytes);
    EXPECT_EQ(answerTo("HTTP/1.0 200 OK\r\n\r\n" + bytes).body().bytes(), bytes);
}

TEST_F(BackendClientTest, AnswersThatBreakOffAreUnknown)
{
    const std::vector<std::string> answers = {
        "",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nContent-Le",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nfirst",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n",
    };
    for (const std::string &bytes : answers) {
        const CallOutcome outcome = answerTo(bytes);
        EXPECT_EQ(outcome.state(), CallState::OutcomeUnknown) << bytes;
        EXPECT_EQ(outcome.reason(), Reason::AnswerLost) << bytes; // The server lives.
    }
}

TEST_F(BackendClientTest, AnswersThatAreNotHttpOrTooLongAreUnknown)
{
    const std::vector<std::string> answers = {
        "\x16\x03\x01 not HTTP at all\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nfirst",
        "HTTP/1.1 200 OK\r\nContent-Length: 5x\r\n\r\nfirst",
        "HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n" + std::string(1001, 'a'),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n" + std::string(1001, 'a') + "\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n0\r\n\r\n",
        "HTTP/1.0 200 OK\r\n\r\n" + std::string(1001, 'a'),
    };
    for (const std::string &bytes : answers) {
        EXPECT_EQ(answerTo(bytes).state(), CallState::OutcomeUnknown) << bytes.substr(0, 80);
    }
}

TEST_F(BackendClientTest, KeptConnectionServesTheNextCall)
{
    ScriptedServer server({answerWith(whole), answerWith(second)});
    BackendClient client = clientOf(server);
    EXPECT_EQ(client.run(call(), {}).body().bytes(), "first");
    EXPECT_EQ(client.run(call(), {}).body().bytes(), "second");
    EXPECT_EQ(server.connections(), 1);
}

TEST_F(BackendClientTest, BytesAfterAnAnswerAreNeverTakenForTheNextAnswer)
{
    const std::string crossed = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\ncrossed";
    ScriptedServer server({answerWith(whole + crossed), answerWith(second)});
    BackendClient client = clientOf(server);
    EXPECT_EQ(client.run(call(), {}).body().bytes(), "first");
    EXPECT_EQ(client.run(call(), {}).body().bytes(), "second");
    EXPECT_EQ(server.connections(), 2);
}

TEST_F(BackendClientTest, LateAnswerOfAnAbandonedCallIsNeverTakenForAnother)
{
    const auto late = [](StreamSocket &socket) {
        std::this_thread::sleep_for(500ms);
        answerWith(whole)(socket);
    };
    ScriptedServer server({late, answerWith(second)});
    BackendClient client = clientOf(server);
    const CallOutcome abandoned = client.run(call(100ms), {});
    EXPECT_EQ(abandoned.state(), CallState::OutcomeUnknown);
    EXPECT_EQ(abandoned.reason(), Reason::DeadlineExceeded);
    std::this_thread::sleep_for(600ms);
    EXPECT_EQ(client.run(call(), {}).body().bytes(), "second");
}

TEST_F(BackendClientTest, AnswerThatComesByteByByteEndsAtTheDeadline)
{
    const auto dribble = [](StreamSocket &socket) {
        for (int i = 0; i < 100; ++i) {
            std::this_thread::sleep_for(50ms);
            answerWith("H")(socket);
        }
    };
    ScriptedServer server({dribble});
    BackendClient client = clientOf(server);
    const TimePoint begin = m_clock.now();
    EXPECT_EQ(client.run(call(300ms), {}).reason(), Reason::DeadlineExceeded);
    EXPECT_LT(m_clock.now() - begin, 3s);
}

TEST_F(BackendClientTest, ConnectionThatTheServerClosedWhileIdleCostsNoCall)
{
    ScriptedServer server({answerAndClose(whole), answerWith(second)});
    BackendClient client = clientOf(server);
    EXPECT_EQ(client.run(call(), {}).body().bytes(), "first");
    std::this_thread::sleep_for(100ms);
    EXPECT_EQ(client.run(call(), {}).body().bytes(), "second");
    EXPECT_EQ(server.requests(), 2);
}

TEST_F(BackendClientTest, RequestIsNotSentTwiceWhenTheServerClosesInsteadOfAnswering)
{
    ScriptedServer server({answerWith(whole), answerAndClose("")});
    BackendClient client = clientOf(server);
    EXPECT_EQ(client.run(call(), {}).body().bytes(), "first");
    EXPECT_EQ(client.run(call(), {}).reason(), Reason::AnswerLost);
    EXPECT_EQ(server.requests(), 2);
}

TEST_F(BackendClientTest, NonIdempotentCallGoesOnlyOnAConnectionUsedLately)
{
    ScriptedServer server({answerWith(whole)});
    BackendClient client = clientOf(server);
    client.run(call(), {});
    std::this_thread::sleep_for(1200ms);
    client.run(call(5s, true), {});
    EXPECT_EQ(server.connections(), 1);
    std::this_thread::sleep_for(1200ms);
    client.run(call(5s, false), {});
    EXPECT_EQ(server.connections(), 2);
}

TEST_F(BackendClientTest, AllIdleConnectionsAreLeftOnceOneWasSilent)
{
    ScriptedServer server({answerWith(whole)});
    test::Relay relay;
    relay.setTarget(server.address());
    BackendClient client(relay.address(), MaxBodyBytes, *m_dialect, m_timers);
    // Calls at the same time connect connections of their own.
    constexpr int CallCount = 8;
    std::vector<std::future<CallOutcome>> together;
    together.reserve(CallCount);
    for (int i = 0; i < CallCount; ++i) {
        together.push_back(std::async(std::launch::async, [&] {
            return client.run(call(), {});
        }));
    }
    for (auto &outcome : together) {
        EXPECT_EQ(outcome.get().state(), CallState::Answered);
    }
    const std::size_t opened = relay.connectionCount();
    relay.freeze(test::Way::ToTarget);
    EXPECT_EQ(client.run(call(300ms), {}).reason(), Reason::DeadlineExceeded);
    EXPECT_EQ(client.run(call(300ms), {}).state(), CallState::Answered);
    EXPECT_EQ(relay.connectionCount(), opened + 1);
}

TEST_F(BackendClientTest, CallIsNotRunWhenNothingListens)
{
    std::string address;
    {
        const ScriptedServer server({answerWith(whole)});
        address = server.address();
    }
    BackendClient client(address, MaxBodyBytes, *m_dialect, m_timers);
    const CallOutcome outcome = client.run(call(), {});
    EXPECT_EQ(outcome.state(), CallState::NotRun);
    EXPECT_EQ(outcome.reason(), Reason::BackendUnreachable);
}

} // namespace fescuepond
