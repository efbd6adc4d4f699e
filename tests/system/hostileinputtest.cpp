// Invalid bytes on the peer and front listeners. Guards against input that crashes the node, makes it allocate large
// buffers, or affects other connections: only the connection that sent the bytes is closed.

#include "modules/peer/compressedstream.h"
#include "modules/peer/peer.capnp.h"
#include "tests/support/fleet.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <cstring>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace fescuepond::test
{

namespace
{

using namespace std::chrono_literals;
using Poco::Net::StreamSocket;
using SteadyTime = std::chrono::steady_clock;

constexpr const char *Yard = R"(
service: yard
kinds:
  - {name: stock, method: GET, path: /stock/*, rank: 5, idempotent: true, deadline_ms: 4000, retries: 0}
  - {name: book, method: POST, path: /book/*, rank: 1, idempotent: true, deadline_ms: 4000, retries: 0}
)";
constexpr const char *Dispatch = R"(
service: dispatch
kinds:
  - {name: slots, method: GET, path: /slots/*, rank: 5, idempotent: true, deadline_ms: 4000, retries: 0}
)";
constexpr long ReceiveTimeoutSeconds = 8;
constexpr std::size_t MaxBodyBytes = 100'000;

class HostileInput : public testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_EQ(m_fleet.publish({Yard, Dispatch}), 0);
        m_yard = &m_fleet.addNode({.name = "yard-a",
                                   .service = "yard",
                                   .settings = {"request_read_timeout_ms: 1000",
                                                "max_body_bytes: " + std::to_string(MaxBodyBytes),
                                                "max_header_bytes: 2000"}});
        m_entry = &m_fleet.addNode({.name = "dispatch-a", .service = "dispatch"});
        ASSERT_TRUE(m_fleet.waitUntilReady(2));
    }

    void TearDown() override
    {
        // No request of the test was run, and the same process still serves callers and other nodes.
        const std::size_t before = m_yard->journalLines("begin").size();
        EXPECT_EQ(before, 0);
        EXPECT_EQ(readOutcome(*m_yard), "answered");
        EXPECT_EQ(readOutcome(*m_entry), "answered");
        EXPECT_EQ(m_yard->process->wait(0ms), std::nullopt);
    }

    static std::string readOutcome(const FleetNode &node)
    {
        return sendHttp(node.front, {.path = "/stock/sleepers", .host = "yard"}).outcome();
    }

    static StreamSocket connectTo(const std::string &address)
    {
        StreamSocket socket{Poco::Net::SocketAddress(address)};
        socket.setReceiveTimeout(Poco::Timespan(ReceiveTimeoutSeconds, 0));
        return socket;
    }

    static void send(StreamSocket &socket, const std::string &bytes)
    {
        try {
            socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        } catch (const Poco::Exception &) {
            // The node has already closed the connection.
        }
    }

    static void shutDownSending(StreamSocket &socket)
    {
        try {
            socket.shutdownSend();
        } catch (const Poco::Exception &) {
            // The node has already closed the connection.
        }
    }

    /// Receives until the connection is closed; returns the bytes, or "(still open)" after a time-out.
    static std::string receiveAll(StreamSocket &socket)
    {
        std::string received;
        std::array<char, 4096> piece;
        try {
            while (const int count = socket.receiveBytes(piece.data(), piece.size())) {
                received.append(piece.data(), static_cast<std::size_t>(count));
            }
        } catch (const Poco::TimeoutException &) {
            return "(still open)";
        } catch (const Poco::Exception &) {
            // Connection reset: the node closed it before it had read all bytes.
        }
        return received;
    }

    static std::string responseTo(const std::string &address, const std::string &bytes)
    {
        StreamSocket socket = connectTo(address);
        send(socket, bytes);
        return receiveAll(socket);
    }

    Fleet m_fleet;
    FleetNode *m_yard = nullptr;
    FleetNode *m_entry = nullptr;
};

/// Segment table that precedes a Cap'n Proto message: `segments` is the number of segments, `words` the size of the
/// first one in words of 8 bytes.
std::string segmentTable(std::uint32_t segments, std::uint32_t words)
{
    std::string bytes(2 * sizeof(std::uint32_t), '\0');
    const std::uint32_t last = segments - 1;
    std::memcpy(bytes.data(), &last, sizeof(last));
    std::memcpy(bytes.data() + sizeof(last), &words, sizeof(words));
    return bytes;
}

} // namespace

TEST_F(HostileInput, RandomBytesOnThePeerPortCloseOnlyTheirConnection)
{
    std::mt19937 random(2026);
    for (int i = 0; i < 20; ++i) {
        std::string bytes(64 + random() % 4096, '\0');
        for (char &byte : bytes) {
            byte = static_cast<char>(random());
        }
        StreamSocket socket = connectTo(m_yard->peer);
        send(socket, bytes);
        shutDownSending(socket);
        EXPECT_NE(receiveAll(socket), "(still open)");
    }
}

TEST_F(HostileInput, MessagesThatDeclareAHugeSizeAreRejectedAtOnce)
{
    constexpr std::uint32_t ThreeGigabytesOfWords = 400'000'000;
    EXPECT_NE(responseTo(m_yard->peer, segmentTable(1, ThreeGigabytesOfWords)), "(still open)");
    EXPECT_NE(responseTo(m_yard->peer, segmentTable(0x10000000, 1)), "(still open)");
}

TEST_F(HostileInput, ConnectionWithoutAFirstMessageIsClosed)
{
    StreamSocket silent = connectTo(m_yard->peer);
    EXPECT_NE(receiveAll(silent), "(still open)");
}

TEST_F(HostileInput, PeerOfAnotherProtocolVersionIsAnsweredAndRejected)
{
    auto io = kj::setupAsyncIo();
    auto stream = io.provider->getNetwork()
                      .parseAddress(m_yard->peer)
                      .then([](kj::Own<kj::NetworkAddress> address) {
                          auto connected = address->connect();
                          return connected.attach(kj::mv(address));
                      })
                      .wait(io.waitScope);
    CompressedStream compressed(kj::mv(stream));
    capnp::TwoPartyClient client(compressed);
    auto peer = client.bootstrap().castAs<wire::Peer>();
    auto hello = peer.helloRequest();
    hello.setVersion(wire::PROTOCOL_VERSION + 1);
    EXPECT_EQ(hello.send().wait(io.waitScope).getVersion(), wire::PROTOCOL_VERSION);
    auto call = peer.callRequest();
    call.initCall().setService("yard");
    std::string error;
    try {
        call.send().wait(io.waitScope);
    } catch (const kj::Exception &exception) {
        error = exception.getDescription().cStr();
    }
    EXPECT_NE(error.find("the first request must be hello with this protocol version"), std::string::npos) << error;
}

TEST_F(HostileInput, InvalidOrTooLargeHttpIsRejectedAsNotRun)
{
    for (const char *bytes : {"\x16\x03\x01\x02 not HTTP\r\n\r\n", "GET\r\n\r\n", "POST /book/x HTTP/9.9 !\r\n\r\n"}) {
        StreamSocket socket = connectTo(m_yard->front);
        send(socket, bytes);
        shutDownSending(socket);
        EXPECT_NE(receiveAll(socket), "(still open)") << bytes;
    }
    const std::string tooLong =
        responseTo(m_yard->front,
                   "POST /book/x HTTP/1.1\r\nHost: yard\r\nContent-Length: 100001\r\n\r\n" + std::string(100'001, 'a'));
    EXPECT_TRUE(tooLong.empty() || tooLong.starts_with("HTTP/1.1 413")) << tooLong;
    const std::string longHeader =
        responseTo(m_yard->front, "GET /stock/x HTTP/1.1\r\nHost: yard\r\nA: " + std::string(2500, 'a') + "\r\n\r\n");
    EXPECT_TRUE(longHeader.starts_with("HTTP/1.1 431")) << longHeader;
    EXPECT_NE(longHeader.find("not-run"), std::string::npos) << longHeader;
}

TEST_F(HostileInput, TruncatedRequestsAreRejectedAsNotRun)
{
    const std::vector<std::string> requests = {
        "POST /book/x HTTP/1.1\r\nHost: yard\r\nContent-Length: 10\r\n\r\nhalf",
        "POST /book/x HTTP/1.1\r\nHost: yard\r\nContent-Length: 5x\r\n\r\nwhole",
        "POST /book/x HTTP/1.1\r\nHost: yard\r\nContent-Length: -5\r\n\r\nwhole",
        "POST /book/x HTTP/1.1\r\nHost: yard\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n",
        "POST /book/x HTTP/1.1\r\nHost: yard\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwho",
        "POST /book/x HTTP/1.1\r\nHost: yard\r\nContent-Le",
        "POST /book/x HTTP/1.1\r\nHost: yard\r\n",
    };
    for (const std::string &request : requests) {
        StreamSocket socket = connectTo(m_yard->front);
        send(socket, request);
        shutDownSending(socket);
        const std::string answer = receiveAll(socket);
        EXPECT_TRUE(answer.empty() || answer.starts_with("HTTP/1.1 400")) << request << "\n->\n" << answer;
    }
}

TEST_F(HostileInput, SlowRequestsAreClosedAndOthersAreServed)
{
    constexpr int SocketCount = 40;
    std::vector<StreamSocket> sockets;
    sockets.reserve(SocketCount);
    for (int i = 0; i < SocketCount; ++i) {
        sockets.push_back(connectTo(m_yard->front));
    }
    const auto begin = SteadyTime::now();
    for (int round = 0; round < 15; ++round) {
        for (StreamSocket &socket : sockets) {
            send(socket, "G");
        }
        std::this_thread::sleep_for(100ms);
    }
    for (StreamSocket &socket : sockets) {
        EXPECT_NE(receiveAll(socket), "(still open)");
    }
    EXPECT_LT(SteadyTime::now() - begin, 7s);
}

} // namespace fescuepond::test
