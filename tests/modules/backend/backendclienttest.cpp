// Tests of the HTTP client against a server that sends scripted bytes.
//
// They guard against two failures. A truncated, malformed, late or surplus response is taken for the response to a
// call, after the server or the network broke off or delayed it. A request is sent twice, after the server closed the
// connection.

#include "modules/backend/backendclient.h"

#include "core/kernel/strategy.h"
#include "core/kernel/workerpool.h"
#include "core/values/bodymemory.h"
#include "tests/support/relay.h"

#include <Poco/Net/ServerSocket.h>

#include <gtest/gtest.h>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <future>
#include <limits>
#include <mutex>
#include <thread>

namespace fescuepond
{

namespace
{

using namespace std::chrono_literals;
using Poco::Net::StreamSocket;

/// Handles a request: called with the connection once the request header was read.
using Script = std::function<void(StreamSocket &)>;

Script sendBytes(const std::string &bytes)
{
    return [bytes](StreamSocket &socket) {
        socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    };
}

Script sendAndReset(const std::string &bytes)
{
    return [bytes](StreamSocket &socket) {
        socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        socket.setLinger(true, 0);
        socket.close();
    };
}

Script sendAndClose(const std::string &bytes)
{
    return [bytes](StreamSocket &socket) {
        socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        socket.close();
    };
}

/// Each request, on whichever connection, is handled by the next script. The last script is used repeatedly.
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
            // The client closed the connection.
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

/// Takes 503 for the backend server's word that it has not run the call.
class RejectionDialect final : public BackendDialect
{
public:
    Headers requestHeaders(const CallRequest &call, const std::string &, TimePoint) const override
    {
        return call.headers();
    }
    AnswerMatch matchAnswer(const CallRequest &, const Headers &) const override
    {
        return AnswerMatch::Unnamed;
    }
    CallOutcome interpret(const CallOutcome &answer, const std::string &) const override
    {
        return answer.status() == 503 ? CallOutcome::notRun(Reason::BackendBusy, "") : answer;
    }
    bool propagatesCallId() const override
    {
        return false;
    }
};

/// As RejectionDialect, but answers name the call that they belong to.
class NamingDialect final : public BackendDialect
{
public:
    Headers requestHeaders(const CallRequest &call, const std::string &, TimePoint) const override
    {
        return call.headers();
    }
    AnswerMatch matchAnswer(const CallRequest &call, const Headers &headers) const override
    {
        const std::string name = valueOf(headers, "call");
        if (name.empty()) {
            return AnswerMatch::Unnamed;
        }
        return name == call.context().callerAttempt() ? AnswerMatch::Named : AnswerMatch::OtherCall;
    }
    CallOutcome interpret(const CallOutcome &answer, const std::string &) const override
    {
        return answer.status() == 503 ? CallOutcome::notRun(Reason::BackendBusy, "") : answer;
    }
    bool propagatesCallId() const override
    {
        return false;
    }
};

std::string rejectionOf(const std::string &name)
{
    return "HTTP/1.1 503 Service Unavailable\r\nCall: " + name + "\r\nContent-Length: 0\r\n\r\n";
}

std::string answerTo(const std::string &name)
{
    return "HTTP/1.1 200 OK\r\nCall: " + name + "\r\nContent-Length: 6\r\n\r\nsecond";
}

CallRequest named(const CallRequest &call, const std::string &name)
{
    return call.withContext(call.context().withCallerAttempt(name));
}

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
    CallOutcome outcomeOfResponse(const std::string &bytes)
    {
        ScriptedServer server({sendAndClose(bytes)});
        return clientOf(server).run(call(), {});
    }

    static constexpr std::size_t MaxBodyBytes = 1000;

    std::unique_ptr<BackendDialect> m_dialect;
    SteadyClock m_clock;
    WorkerPool m_pool;
    TimerService m_timers;
};

const std::string firstResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
const std::string secondResponse = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond";

} // namespace

TEST_F(BackendClientTest, CompleteResponsesWithEachFramingAreAccepted)
{
    EXPECT_EQ(outcomeOfResponse(firstResponse).body().bytes(), "first");
    EXPECT_EQ(outcomeOfResponse(
                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nA: b\r\n\r\n")
                  .body()
                  .bytes(),
              "abcde");
    EXPECT_EQ(outcomeOfResponse("HTTP/1.0 200 OK\r\n\r\nuntil the end").body().bytes(), "until the end");
    EXPECT_EQ(outcomeOfResponse("HTTP/1.1 103 Early Hints\r\n\r\n" + firstResponse).body().bytes(), "first");
    EXPECT_EQ(outcomeOfResponse("HTTP/1.1 204 No Content\r\n\r\n").status(), 204);
}

TEST_F(BackendClientTest, CallCancelledWhileItsConnectionIsOpenedIsNotSent)
{
    for (const bool isIdempotent : {true, false}) {
        // The queue of new connections is full, so the call's connection is opened only after it was drained.
        Poco::Net::ServerSocket server;
        server.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
        server.listen(0);
        const StreamSocket occupant(server.address());
        const AttemptId attempt = AttemptId::random();
        const CallRequest request = call(5s, isIdempotent);
        BackendClient client(server.address().toString(), MaxBodyBytes, *m_dialect, m_timers);
        auto outcome = std::async(std::launch::async, [&] {
            return client.run(request.withContext(request.context().withAttemptId(attempt)), {});
        });
        std::this_thread::sleep_for(300ms);
        client.abort(attempt);
        std::this_thread::sleep_for(100ms);
        server.acceptConnection();
        StreamSocket accepted = server.acceptConnection();
        const CallOutcome received = outcome.get();
        EXPECT_EQ(received.state(), CallState::NotRun);
        EXPECT_EQ(received.reason(), Reason::Cancelled);
        EXPECT_FALSE(received.backendWasReached());
        EXPECT_EQ(accepted.available(), 0);
    }
}

TEST_F(BackendClientTest, BodiesMayContainEveryByteValue)
{
    std::string bytes;
    for (int value = 0; value < 256; ++value) {
        bytes.push_back(static_cast<char>(value));
    }
    EXPECT_EQ(outcomeOfResponse("HTTP/1.1 200 OK\r\nContent-Length: 256\r\n\r\n" + bytes).body().bytes(), bytes);
    EXPECT_EQ(
        outcomeOfResponse("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n100\r\n" + bytes + "\r\n0\r\n\r\n")
            .body()
            .bytes(),
        bytes);
    EXPECT_EQ(outcomeOfResponse("HTTP/1.0 200 OK\r\n\r\n" + bytes).body().bytes(), bytes);
}

TEST_F(BackendClientTest, TruncatedResponsesGiveUnknownOutcomes)
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
        const CallOutcome outcome = outcomeOfResponse(bytes);
        EXPECT_EQ(outcome.state(), CallState::OutcomeUnknown) << bytes;
        EXPECT_EQ(outcome.reason(), Reason::AnswerLost) << bytes; // The server still accepts connections.
    }
}

TEST_F(BackendClientTest, HeadThatEndsAtAnyPositionIsNeverACompleteResponse)
{
    // Without a length, the end of the connection ends the body, so an incomplete head must not pass for a whole one.
    const std::string head = "HTTP/1.1 200 OK\r\nFescuepond-Signature: s\r\nConnection: close\r\n";
    for (const auto &end : {sendAndClose, sendAndReset}) {
        std::deque<Script> scripts;
        for (const std::string &framing : {"", "Content-Length: 12\r\n", "Transfer-Encoding: chunked\r\n"}) {
            const std::string whole = head + framing + "\r\n";
            for (std::size_t length = 0; length < whole.size(); ++length) {
                scripts.push_back(end(whole.substr(0, length)));
            }
        }
        const std::size_t count = scripts.size();
        ScriptedServer server(std::move(scripts));
        BackendClient client = clientOf(server);
        for (std::size_t i = 0; i < count; ++i) {
            EXPECT_EQ(client.run(call(), {}).state(), CallState::OutcomeUnknown) << "response " << i;
        }
    }
}

TEST_F(BackendClientTest, BodyThatEndsAtAnyPositionIsNeverACompleteResponse)
{
    const std::string withLength = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n";
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::vector<std::pair<std::string, std::string>> responses = {
        {withLength, "twelve bytes"},
        {chunked, "6\r\ntwelve\r\n6\r\n bytes\r\n0\r\n\r\n"},
    };
    for (const auto &end : {sendAndClose, sendAndReset}) {
        std::deque<Script> scripts;
        for (const auto &[head, body] : responses) {
            for (std::size_t length = 0; length < body.size(); ++length) {
                scripts.push_back(end(head + body.substr(0, length)));
            }
        }
        // A body without a length is complete only if the connection is closed, not if it is reset.
        scripts.push_back(sendAndReset("HTTP/1.1 200 OK\r\n\r\ntwelve"));
        const std::size_t count = scripts.size();
        ScriptedServer server(std::move(scripts));
        BackendClient client = clientOf(server);
        for (std::size_t i = 0; i < count; ++i) {
            EXPECT_EQ(client.run(call(), {}).state(), CallState::OutcomeUnknown) << "response " << i;
        }
    }
}

TEST_F(BackendClientTest, BodyWithoutALengthThatTheNodeItselfCutsOffIsNeverACompleteResponse)
{
    const auto sendAndHold = sendBytes("HTTP/1.1 200 OK\r\n\r\nhalf of the body");
    for (const Duration limit : {150ms, 200ms, 250ms, 300ms}) {
        ScriptedServer server({sendAndHold});
        const CallOutcome outcome = clientOf(server).run(call(limit, true), {});
        EXPECT_EQ(outcome.state(), CallState::OutcomeUnknown);
        EXPECT_EQ(outcome.reason(), Reason::DeadlineExceeded);
    }
    ScriptedServer server({sendAndHold});
    BackendClient client = clientOf(server);
    const AttemptId attempt = AttemptId::random();
    const CallRequest request = call(5s, true);
    auto outcome = std::async(std::launch::async, [&] {
        return client.run(request.withContext(request.context().withAttemptId(attempt)), {});
    });
    std::this_thread::sleep_for(300ms);
    client.abort(attempt);
    EXPECT_EQ(outcome.get().reason(), Reason::Cancelled);
}

TEST_F(BackendClientTest, MalformedOrTooLongResponsesGiveUnknownOutcomes)
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
        EXPECT_EQ(outcomeOfResponse(bytes).state(), CallState::OutcomeUnknown) << bytes.substr(0, 80);
    }
}

TEST_F(BackendClientTest, EncodedWordInAResponseHeaderIsHandedOnAsItWasSent)
{
    const std::string word = "=?UTF-8?Q?a=0D=0AContent=2DLength=3A=200=0D=0A=0D=0AHTTP=2F1=2E1=20200=20OK?=";
    const CallOutcome outcome =
        outcomeOfResponse("HTTP/1.1 200 OK\r\nX-Note: " + word + "\r\nContent-Length: 5\r\n\r\nfirst");
    ASSERT_EQ(outcome.state(), CallState::Answered);
    EXPECT_EQ(outcome.headers().at("x-note"), word);
}

TEST_F(BackendClientTest, HeaderThatWouldBreakOutOfItsPlaceIsNotSent)
{
    // Callers' headers are checked when they are read; these come from another node's message.
    const std::string forged = "a\r\nContent-Length: 0\r\n\r\nGET /hidden HTTP/1.1\r\nB: c";
    ScriptedServer server({sendBytes(firstResponse)});
    BackendClient client = clientOf(server);
    for (const CallRequest &request : {call().withHeaders({{"x-note", forged}}),
                                       call().withHeaders({{forged, "a"}}),
                                       call().withPath("/a HTTP/1.1\r\nX: y"),
                                       call().withHost("yard\r\nX: y")}) {
        const CallOutcome outcome = client.run(request, {});
        EXPECT_EQ(outcome.state(), CallState::NotRun);
        EXPECT_EQ(outcome.reason(), Reason::BadRequest);
    }
    EXPECT_EQ(server.requests(), 0);
    EXPECT_EQ(client.run(call(), {}).body().bytes(), "first");
}

TEST_F(BackendClientTest, ResponseWithoutAnEndIsGivenUpLongBeforeTheDeadline)
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::vector<std::pair<std::string, std::string>> answers = {
        {"", "A"},
        {"", std::string(1, '\0')},
        {"", "\r\n"},
        {"HTTP/1.1 200 ", "O"},
        {ok, "a"},
        {ok + "a: ", "b"},
        {ok, "a: b\r\n"},
        {ok, " \r\n"},
        {ok + "a: b\r\n", " c\r\n"},
        {"", "HTTP/1.1 100 Continue\r\n\r\n"},
        {ok + "\r\n", "body"},
        {ok + "Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"},
        {ok + "Transfer-Encoding: chunked\r\n\r\n", "1;"},
        {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "a: b\r\n"},
    };
    for (const auto &[begin, repeated] : answers) {
        std::atomic<std::size_t> sentBytes = 0;
        std::string block;
        while (block.size() < 10'000) {
            block += repeated;
        }
        const auto sendWithoutEnd = [&, first = begin](StreamSocket &socket) {
            sendBytes(first)(socket);
            while (true) {
                sendBytes(block)(socket);
                sentBytes += block.size();
            }
        };
        ScriptedServer server({sendWithoutEnd});
        BackendClient client = clientOf(server);
        const TimePoint start = m_clock.now();
        const CallOutcome outcome = client.run(call(20s), {});
        EXPECT_EQ(outcome.state(), CallState::OutcomeUnknown) << begin << repeated;
        EXPECT_LT(m_clock.now() - start, 5s) << begin << repeated;
        EXPECT_LT(sentBytes, 20'000'000) << begin << repeated;
    }
}

TEST_F(BackendClientTest, BodiesWithoutAnEndOnManyConnectionsTakeABoundedSum)
{
    constexpr int Calls = 24;
    constexpr std::size_t Limit = 4'000'000;
    constexpr std::size_t LargeBody = 8'000'000;
    const std::size_t heldBefore = heldBodyBytes();
    setBodyMemoryLimit(Limit);
    const std::string chunk = "2710\r\n" + std::string(10'000, 'a') + "\r\n";
    const auto sendWithoutEnd = [&](StreamSocket &socket) {
        sendBytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")(socket);
        while (true) {
            sendBytes(chunk)(socket);
        }
    };
    ScriptedServer endless({sendWithoutEnd});
    BackendClient client(endless.address(), LargeBody, *m_dialect, m_timers);
    std::atomic<std::size_t> peak = 0;
    std::atomic<bool> isOver = false;
    std::thread observer([&] {
        while (!isOver) {
            peak = std::max(peak.load(), heldBodyBytes());
            std::this_thread::sleep_for(100us);
        }
    });
    std::vector<std::future<CallOutcome>> outcomes;
    outcomes.reserve(Calls);
    for (int i = 0; i < Calls; ++i) {
        outcomes.push_back(std::async(std::launch::async, [&] {
            return client.run(call(20s), {});
        }));
    }
    // A small response is read all the while.
    ScriptedServer small({sendBytes(firstResponse)});
    BackendClient other = clientOf(small);
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(other.run(call(), {}).body().bytes(), "first");
    }
    for (auto &outcome : outcomes) {
        EXPECT_EQ(outcome.get().state(), CallState::OutcomeUnknown);
    }
    isOver = true;
    observer.join();
    setBodyMemoryLimit(std::numeric_limits<std::size_t>::max());
    EXPECT_LE(peak, Limit + (Calls + 1) * SmallBodyBytes);
    EXPECT_EQ(heldBodyBytes(), heldBefore);
}

TEST_F(BackendClientTest, IdleConnectionIsReusedForTheNextCall)
{
    ScriptedServer server({sendBytes(firstResponse), sendBytes(secondResponse)});
    BackendClient client = clientOf(server);
    EXPECT_EQ(client.run(call(), {}).body().bytes(), "first");
    EXPECT_EQ(client.run(call(), {}).body().bytes(), "second");
    EXPECT_EQ(server.connections(), 1);
}

TEST_F(BackendClientTest, SurplusBytesAreNeverTakenForTheNextResponse)
{
    const std::string surplus = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\ncrossed";
    ScriptedServer server({sendBytes(firstResponse + surplus), sendBytes(secondResponse)});
    BackendClient client = clientOf(server);
    EXPECT_EQ(client.run(call(), {}).body().bytes(), "first");
    EXPECT_EQ(client.run(call(), {}).body().bytes(), "second");
    EXPECT_EQ(server.connections(), 2);
}

TEST_F(BackendClientTest, RepeatedRejectionIsNeverTakenForTheResponseToAnotherCall)
{
    const std::string rejection = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
    std::optional<StreamSocket> rejectedOn;
    const auto reject = [&](StreamSocket &socket) {
        rejectedOn = socket;
        sendBytes(rejection)(socket);
    };
    const auto run = [&](StreamSocket &socket) {
        sendBytes(socket == *rejectedOn ? rejection + secondResponse : secondResponse)(socket);
    };
    ScriptedServer server({reject, run});
    const RejectionDialect dialect;
    BackendClient client(server.address(), MaxBodyBytes, dialect, m_timers);
    EXPECT_EQ(client.run(call(), {}).state(), CallState::NotRun);
    const CallOutcome second = client.run(call(), {});
    EXPECT_EQ(second.state(), CallState::Answered);
    EXPECT_EQ(second.body().bytes(), "second");
    EXPECT_EQ(server.requests(), 2);
}

TEST_F(BackendClientTest, RejectedCallsDoNotCostAConnectionEach)
{
    constexpr int Calls = 60;
    std::deque<Script> scripts;
    for (int i = 0; i < Calls; ++i) {
        scripts.push_back(sendBytes(rejectionOf("a" + std::to_string(i))));
    }
    ScriptedServer server(scripts);
    const NamingDialect dialect;
    BackendClient client(server.address(), MaxBodyBytes, dialect, m_timers);
    for (int i = 0; i < Calls; ++i) {
        EXPECT_EQ(client.run(named(call(), "a" + std::to_string(i)), {}).state(), CallState::NotRun);
    }
    EXPECT_EQ(server.requests(), Calls);
    EXPECT_EQ(server.connections(), 1);
    EXPECT_EQ(client.count(ConnectionEvent::Opened), 1);
    EXPECT_EQ(client.count(ConnectionEvent::ClosedAfterRejection), 0);
}

TEST_F(BackendClientTest, RepeatedRejectionThatNamesItsCallIsNeverTakenForTheResponseToAnother)
{
    ScriptedServer server({sendBytes(rejectionOf("a")), sendBytes(rejectionOf("a") + answerTo("b"))});
    const NamingDialect dialect;
    BackendClient client(server.address(), MaxBodyBytes, dialect, m_timers);
    EXPECT_EQ(client.run(named(call(), "a"), {}).state(), CallState::NotRun);
    const CallOutcome second = client.run(named(call(), "b"), {});
    EXPECT_EQ(second.state(), CallState::Answered);
    EXPECT_EQ(second.body().bytes(), "second");
    EXPECT_EQ(server.connections(), 1);
}

TEST_F(BackendClientTest, RepeatedRejectionIsNeverTakenForTheResponseToTheSameCallSentAgain)
{
    std::optional<StreamSocket> rejectedOn;
    const auto reject = [&](StreamSocket &socket) {
        rejectedOn = socket;
        sendBytes(rejectionOf("a"))(socket);
    };
    const auto run = [&](StreamSocket &socket) {
        sendBytes(socket == *rejectedOn ? rejectionOf("a") + answerTo("a") : answerTo("a"))(socket);
    };
    ScriptedServer server({reject, run});
    const NamingDialect dialect;
    BackendClient client(server.address(), MaxBodyBytes, dialect, m_timers);
    EXPECT_EQ(client.run(named(call(), "a"), {}).state(), CallState::NotRun);
    EXPECT_EQ(client.run(named(call(), "a"), {}).body().bytes(), "second");
    EXPECT_EQ(server.requests(), 2);
}

TEST_F(BackendClientTest, StrayRejectionWithoutANameIsNeverTakenForTheRejectionOfAnotherCall)
{
    const std::string unnamed = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
    ScriptedServer server({sendBytes(rejectionOf("a")), sendBytes(unnamed + answerTo("b"))});
    const NamingDialect dialect;
    BackendClient client(server.address(), MaxBodyBytes, dialect, m_timers);
    EXPECT_EQ(client.run(named(call(), "a"), {}).state(), CallState::NotRun);
    EXPECT_EQ(client.run(named(call(), "b"), {}).state(), CallState::OutcomeUnknown);
    EXPECT_EQ(server.connections(), 1);
    // The connection isn't used again.
    client.run(named(call(), "c"), {});
    EXPECT_EQ(server.connections(), 2);
}

TEST_F(BackendClientTest, CallsThatRunAtOnceReuseTheirConnectionsWhenTheyRunAgain)
{
    constexpr int Calls = 100;
    constexpr int Rounds = 3;
    // Answers only once all calls of a round are there, so that each has a connection.
    std::mutex mutex;
    std::condition_variable arrived;
    int waiting = 0;
    const auto answerTogether = [&](StreamSocket &socket) {
        std::unique_lock lock(mutex);
        const int round = waiting++ / Calls;
        arrived.notify_all();
        arrived.wait(lock, [&] {
            return waiting >= (round + 1) * Calls;
        });
        lock.unlock();
        sendBytes(firstResponse)(socket);
    };
    ScriptedServer server({answerTogether});
    BackendClient client = clientOf(server);
    for (int round = 0; round < Rounds; ++round) {
        std::vector<std::future<CallOutcome>> outcomes;
        outcomes.reserve(Calls);
        for (int i = 0; i < Calls; ++i) {
            outcomes.push_back(std::async(std::launch::async, [&] {
                return client.run(call(), {});
            }));
        }
        for (auto &outcome : outcomes) {
            EXPECT_EQ(outcome.get().body().bytes(), "first");
        }
    }
    EXPECT_EQ(server.connections(), Calls);
}

TEST_F(BackendClientTest, LateResponseToAnAbandonedCallIsNeverTakenForAnother)
{
    const auto late = [](StreamSocket &socket) {
        std::this_thread::sleep_for(500ms);
        sendBytes(firstResponse)(socket);
    };
    ScriptedServer server({late, sendBytes(secondResponse)});
    BackendClient client = clientOf(server);
    const CallOutcome abandoned = client.run(call(100ms), {});
    EXPECT_EQ(abandoned.state(), CallState::OutcomeUnknown);
    EXPECT_EQ(abandoned.reason(), Reason::DeadlineExceeded);
    std::this_thread::sleep_for(600ms);
    EXPECT_EQ(client.run(call(), {}).body().bytes(), "second");
}

TEST_F(BackendClientTest, ResponseThatArrivesByteByByteIsCutOffAtTheDeadline)
{
    const auto sendByteByByte = [](StreamSocket &socket) {
        for (int i = 0; i < 100; ++i) {
            std::this_thread::sleep_for(50ms);
            sendBytes("H")(socket);
        }
    };
    ScriptedServer server({sendByteByByte});
    BackendClient client = clientOf(server);
    const TimePoint begin = m_clock.now();
    EXPECT_EQ(client.run(call(300ms), {}).reason(), Reason::DeadlineExceeded);
    EXPECT_LT(m_clock.now() - begin, 3s);
}

TEST_F(BackendClientTest, CallSucceedsAfterTheServerClosedTheIdleConnection)
{
    ScriptedServer server({sendAndClose(firstResponse), sendBytes(secondResponse)});
    BackendClient client = clientOf(server);
    EXPECT_EQ(client.run(call(), {}).body().bytes(), "first");
    std::this_thread::sleep_for(100ms);
    EXPECT_EQ(client.run(call(), {}).body().bytes(), "second");
    EXPECT_EQ(server.requests(), 2);
}

TEST_F(BackendClientTest, RequestIsNotSentTwiceIfTheServerClosesWithoutResponse)
{
    ScriptedServer server({sendBytes(firstResponse), sendAndClose("")});
    BackendClient client = clientOf(server);
    EXPECT_EQ(client.run(call(), {}).body().bytes(), "first");
    EXPECT_EQ(client.run(call(), {}).reason(), Reason::AnswerLost);
    EXPECT_EQ(server.requests(), 2);
}

TEST_F(BackendClientTest, NonIdempotentCallUsesOnlyARecentlyUsedConnection)
{
    ScriptedServer server({sendBytes(firstResponse)});
    BackendClient client = clientOf(server);
    client.run(call(), {});
    std::this_thread::sleep_for(1200ms);
    client.run(call(5s, true), {});
    EXPECT_EQ(server.connections(), 1);
    std::this_thread::sleep_for(1200ms);
    client.run(call(5s, false), {});
    EXPECT_EQ(server.connections(), 2);
}

TEST_F(BackendClientTest, AllIdleConnectionsAreClosedAfterOneTimedOut)
{
    ScriptedServer server({sendBytes(firstResponse)});
    test::Relay relay;
    relay.setTarget(server.address());
    BackendClient client(relay.address(), MaxBodyBytes, *m_dialect, m_timers);
    // Concurrent calls open one connection each.
    constexpr int CallCount = 8;
    std::vector<std::future<CallOutcome>> outcomes;
    outcomes.reserve(CallCount);
    for (int i = 0; i < CallCount; ++i) {
        outcomes.push_back(std::async(std::launch::async, [&] {
            return client.run(call(), {});
        }));
    }
    for (auto &outcome : outcomes) {
        EXPECT_EQ(outcome.get().state(), CallState::Answered);
    }
    const std::size_t opened = relay.connectionCount();
    relay.stall(test::Direction::ToTarget);
    EXPECT_EQ(client.run(call(300ms), {}).reason(), Reason::DeadlineExceeded);
    EXPECT_EQ(client.run(call(300ms), {}).state(), CallState::Answered);
    EXPECT_EQ(relay.connectionCount(), opened + 1);
}

TEST_F(BackendClientTest, CallIsNotRunIfNothingListens)
{
    std::string address;
    {
        const ScriptedServer server({sendBytes(firstResponse)});
        address = server.address();
    }
    BackendClient client(address, MaxBodyBytes, *m_dialect, m_timers);
    const CallOutcome outcome = client.run(call(), {});
    EXPECT_EQ(outcome.state(), CallState::NotRun);
    EXPECT_EQ(outcome.reason(), Reason::BackendUnreachable);
}

} // namespace fescuepond
