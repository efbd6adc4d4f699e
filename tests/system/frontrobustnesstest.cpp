// Malformed, truncated, slow and forged requests at the front listener. Guards against requests that are run although
// they are incomplete, against responses in the wrong order, and against slow callers that block others. A rejected
// request gets an error response or a closed connection and is not run.

#include "tests/support/fleet.h"
#include "tests/support/rawconnection.h"

#include <gtest/gtest.h>

namespace fescuepond::test
{

namespace
{

constexpr const char *Yard = R"(
service: yard
kinds:
  - {name: stock, method: "*", path: /stock/*, rank: 5, idempotent: true, deadline_ms: 5000}
)";

constexpr auto ResponseTimeout = std::chrono::seconds(8);

class FrontRobustness : public testing::Test
{
protected:
    FrontRobustness()
    {
        m_fleet.publish({Yard});
        m_node = &m_fleet.addNode(
            {.name = "yard-a", .service = "yard", .settings = {"request_read_timeout_ms: 1500", "http_threads: 4"}});
        EXPECT_TRUE(m_fleet.waitUntilReady(1));
    }

    /// Sends `bytes` on a new connection and returns the status line of the response; empty if the connection was
    /// closed.
    std::string statusLineFor(const std::string &bytes, bool closesSending = false)
    {
        RawConnection connection(m_node->front);
        connection.send(bytes);
        if (closesSending) {
            connection.finishSending();
        }
        const std::string &received = connection.receiveUntil("\r\n", ResponseTimeout);
        return received.substr(0, received.find("\r\n"));
    }

    std::size_t runCount() const
    {
        return m_node->journalLines("begin").size();
    }

    Fleet m_fleet;
    const FleetNode *m_node = nullptr;
};

struct RejectedCase {
    std::string name;
    std::string bytes;
    std::string status; ///< Start of the status line; empty: the connection may also be closed without a response.
    bool closesSending = false; ///< The caller shuts down its sending direction after `bytes`.
};

} // namespace

TEST_F(FrontRobustness, BodiesCanHoldEveryByteValue)
{
    std::string bytes;
    for (int value = 0; value < 256; ++value) {
        bytes.push_back(static_cast<char>(value));
    }
    const std::string head = "POST /stock/a HTTP/1.1\r\nHost: yard\r\n";
    EXPECT_EQ(statusLineFor(head + "Content-Length: 256\r\n\r\n" + bytes), "HTTP/1.1 200 OK");
    EXPECT_EQ(statusLineFor(head + "Transfer-Encoding: chunked\r\n\r\n100\r\n" + bytes + "\r\n0\r\n\r\n"),
              "HTTP/1.1 200 OK");
}

TEST_F(FrontRobustness, InvalidOrIncompleteRequestsAreRejectedAndDoNotRun)
{
    const std::string host = "Host: yard\r\n";
    const std::string longHeader = "X-Long: " + std::string(6000, 'x') + "\r\n";
    const std::vector<RejectedCase> cases = {
        {"not a request", "GARBAGE\r\n\r\n", ""},
        {"binary", std::string("\x16\x03\x01\0\xff\r\n\r\n", 9), ""},
        {"header too long",
         "GET /stock/a HTTP/1.1\r\n" + host + longHeader + "X-2" + longHeader + "X-3" + longHeader + "\r\n",
         "HTTP/1.1 431"},
        {"unterminated header", "GET /stock/a HTTP/1.1\r\nX: " + std::string(400000, 'x'), ""},
        {"body too long", "POST /stock/a HTTP/1.1\r\n" + host + "Content-Length: 2000000\r\n\r\n", "HTTP/1.1 413"},
        {"truncated body",
         "POST /stock/a HTTP/1.1\r\n" + host + "Content-Length: 10\r\n\r\n12345",
         "HTTP/1.1 400",
         true},
        {"truncated chunked body",
         "POST /stock/a HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n8\r\n1234",
         "HTTP/1.1 400",
         true},
        {"chunked body without its last chunk",
         "POST /stock/a HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n4\r\n1234\r\n",
         "HTTP/1.1 400",
         true},
        {"chunk size not a number",
         "POST /stock/a HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\nzz\r\n1234\r\n0\r\n\r\n",
         "HTTP/1.1 400",
         true},
        {"two content lengths",
         "POST /stock/a HTTP/1.1\r\n" + host + "Content-Length: 4\r\nContent-Length: 5\r\n\r\n12345",
         "HTTP/1.1 400"},
        {"content length not a number",
         "POST /stock/a HTTP/1.1\r\n" + host + "Content-Length: many\r\n\r\n",
         "HTTP/1.1 400"},
        {"negative content length", "POST /stock/a HTTP/1.1\r\n" + host + "Content-Length: -4\r\n\r\n", "HTTP/1.1 400"},
        {"content length and chunked encoding",
         "POST /stock/a HTTP/1.1\r\n" + host
             + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /stock/b HTTP/1.1\r\n\r\n",
         "HTTP/1.1 400"},
        {"unknown transfer encoding",
         "POST /stock/a HTTP/1.1\r\n" + host + "Transfer-Encoding: gzip\r\n\r\n1234",
         "HTTP/1.1 400"},
        {"truncated header", "GET /stock/a HTTP/1.1\r\nHost: ya", "", true},
        {"blank before the colon",
         "POST /stock/a HTTP/1.1\r\n" + host + "Content-Length : 4\r\n\r\n1234",
         "HTTP/1.1 400"},
        {"folded header line", "GET /stock/a HTTP/1.1\r\n" + host + "X-A: b\r\n c\r\n\r\n", "HTTP/1.1 400"},
        {"header line without a colon", "GET /stock/b HTTP/1.1\r\n" + host + "nonsense\r\n\r\n", "HTTP/1.1 400"},
        {"header line that ends without CR", "GET /stock/b HTTP/1.1\nHost: yard\n\n", "HTTP/1.1 400"},
    };
    for (const RejectedCase &entry : cases) {
        const std::string line = statusLineFor(entry.bytes, entry.closesSending);
        EXPECT_TRUE(line.starts_with(entry.status)) << entry.name << ": '" << line << "'";
        EXPECT_FALSE(line.starts_with("HTTP/1.1 2")) << entry.name << ": '" << line << "'";
    }
    EXPECT_EQ(runCount(), 0);
    // The node still serves requests.
    EXPECT_EQ(statusLineFor("GET /stock/a HTTP/1.1\r\n" + host + "\r\n"), "HTTP/1.1 200 OK");
}

TEST_F(FrontRobustness, UnusualButCompleteRequestsAreAnswered)
{
    const std::string host = "Host: yard\r\n";
    EXPECT_EQ(statusLineFor("GET /stock/a HTTP/1.1\r\n" + host + "\r\n"), "HTTP/1.1 200 OK");
    // The end of the input counts as a disconnect; a caller that still reads gets a true answer, and nothing is run.
    EXPECT_EQ(statusLineFor("GET /stock/ended HTTP/1.1\r\n" + host + "\r\n", true), "HTTP/1.1 503 Service Unavailable");
    EXPECT_EQ(runCount(), 1);
    EXPECT_EQ(statusLineFor("POST /stock/chunked HTTP/1.1\r\n" + host
                            + "Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n3\r\nefg\r\n0\r\n\r\n"),
              "HTTP/1.1 200 OK");
    EXPECT_NE(m_node->journalLines("begin")[1].find("/stock/chunked abcdefg"), std::string::npos);

    RawConnection slowConnection(m_node->front);
    slowConnection.sendSlowly("GET /stock/slow HTTP/1.1\r\nHost: yard\r\n\r\n", std::chrono::milliseconds(2));
    EXPECT_TRUE(slowConnection.receiveUntil("\r\n", ResponseTimeout).starts_with("HTTP/1.1 200"));

    RawConnection expecting(m_node->front);
    expecting.send("POST /stock/expect HTTP/1.1\r\n" + host + "Content-Length: 4\r\nExpect: 100-continue\r\n\r\n");
    EXPECT_TRUE(expecting.receiveUntil("\r\n\r\n", ResponseTimeout).starts_with("HTTP/1.1 100"));
    expecting.send("body");
    EXPECT_NE(expecting.receiveUntil("HTTP/1.1 200", ResponseTimeout).find("HTTP/1.1 200"), std::string::npos);
}

TEST_F(FrontRobustness, EncodedWordInAHeaderSmugglesNoRequest)
{
    // RFC 2047 words are for mail. Decoded, this one would end the request and begin another.
    const std::string smuggled =
        "=?UTF-8?Q?a=0D=0AContent=2DLength=3A=200=0D=0A=0D=0A"
        "GET=20=2Fstock=2Fhidden=20HTTP=2F1=2E1=0D=0AX=2DRest=3A=20b?=";
    for (int i = 0; i < 3; ++i) {
        EXPECT_EQ(statusLineFor("POST /stock/note HTTP/1.1\r\nHost: yard\r\nX-Note: " + smuggled
                                + "\r\nContent-Length: 4\r\n\r\nbody"),
                  "HTTP/1.1 200 OK");
    }
    EXPECT_EQ(runCount(), 3U);
    for (const std::string &line : m_node->journalLines("begin")) {
        EXPECT_NE(line.find("POST /stock/note body"), std::string::npos) << line;
    }
}

TEST_F(FrontRobustness, PipelinedRequestsAreAnsweredInTheirOrder)
{
    // The second request names an unknown service, so that its response can be told from the others.
    RawConnection connection(m_node->front);
    connection.send(
        "GET /stock/1 HTTP/1.1\r\nHost: yard\r\n\r\n"
        "GET /stock/2 HTTP/1.1\r\nHost: nosuch\r\n\r\n"
        "POST /stock/3 HTTP/1.1\r\nHost: yard\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi");
    ASSERT_TRUE(connection.isClosedWithin(ResponseTimeout));
    const std::string &received = connection.received();
    const auto first = received.find("HTTP/1.1 200");
    const auto second = received.find("HTTP/1.1 404");
    const auto third = received.find("HTTP/1.1 200", second);
    EXPECT_EQ(first, 0) << received;
    ASSERT_NE(second, std::string::npos) << received;
    EXPECT_NE(third, std::string::npos) << received;
    EXPECT_EQ(runCount(), 2);
}

TEST_F(FrontRobustness, HeadResponseHasNoBodyAndItsConnectionStaysUsable)
{
    RawConnection connection(m_node->front);
    connection.send("HEAD /stock/a HTTP/1.1\r\nHost: yard\r\n\r\n");
    const std::string head = connection.receiveUntil("\r\n\r\n", ResponseTimeout);
    EXPECT_TRUE(head.starts_with("HTTP/1.1 200")) << head;
    EXPECT_TRUE(head.ends_with("\r\n\r\n")) << head;
    connection.send("GET /stock/b HTTP/1.1\r\nHost: nosuch\r\nConnection: close\r\n\r\n");
    EXPECT_TRUE(connection.isClosedWithin(ResponseTimeout));
    EXPECT_EQ(connection.received().find("HTTP/1.1 404"), head.size()) << connection.received();
}

TEST_F(FrontRobustness, ForgedInternalHeaderIsNotForwarded)
{
    const std::string forged(32, 'a');
    EXPECT_EQ(statusLineFor("GET /stock/a HTTP/1.1\r\nHost: yard\r\nX-Fescuepond-Call: " + forged + "\r\n\r\n"),
              "HTTP/1.1 200 OK");
    ASSERT_EQ(runCount(), 1);
    EXPECT_EQ(m_node->journalLines("begin")[0].find(forged), std::string::npos);
}

TEST_F(FrontRobustness, IdleConnectionsDoNotBlockOtherCallers)
{
    constexpr std::size_t IdleConnections = 20;
    std::vector<std::unique_ptr<RawConnection>> idle;
    idle.reserve(IdleConnections);
    for (std::size_t i = 0; i < IdleConnections; ++i) {
        idle.push_back(std::make_unique<RawConnection>(m_node->front));
    }
    EXPECT_EQ(statusLineFor("GET /stock/b HTTP/1.1\r\nHost: yard\r\n\r\n"), "HTTP/1.1 200 OK");
}

TEST_F(FrontRobustness, SlowSendersDoNotBlockOtherCallers)
{
    // Opens as many slow connections as the node has HTTP threads. The node closes each of them
    // after request_read_timeout_ms.
    std::vector<std::unique_ptr<RawConnection>> slow;
    for (int i = 0; i < 4; ++i) {
        slow.push_back(std::make_unique<RawConnection>(m_node->front));
        slow.back()->send("POST /stock/a HTTP/1.1\r\nHost: yard\r\nContent-Length: 100\r\n\r\n1");
    }
    EXPECT_EQ(statusLineFor("GET /stock/b HTTP/1.1\r\nHost: yard\r\n\r\n"), "HTTP/1.1 200 OK");
    for (const auto &connection : slow) {
        EXPECT_TRUE(connection->isClosedWithin(ResponseTimeout));
        EXPECT_EQ(connection->received().find("HTTP/1.1 2"), std::string::npos);
    }
    EXPECT_EQ(runCount(), 1);
}

} // namespace fescuepond::test
