// The scanner that finds the end of a request while it arrives. Guards against a request that is taken for whole before
// its end, which makes a thread wait for the rest, one that is never taken for whole, and one without an end that is
// held beyond its limits.

#include "modules/http/requestscanner.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace fescuepond
{

namespace
{

constexpr RequestLimits Limits = {.headerBytes = 1'000, .bodyBytes = 100};

const std::vector<std::string> wholeRequests = {
    "GET /stock/a HTTP/1.1\r\nHost: yard\r\n\r\n",
    "\r\nGET /stock/a HTTP/1.1\r\nHost: yard\r\n\r\n",
    "POST /book HTTP/1.1\r\nContent-Length: 11\r\n\r\nhello\r\n\r\n\r\n",
    "POST /book HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
    "POST /book HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc",
    "POST /book HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0A;x=y\r\n0123456789\r\n0\r\n\r\n",
    "POST /book HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nName: value\r\nOther: value\r\n\r\n",
};

struct Faulty {
    std::string bytes;
    int status;
};

const std::vector<Faulty> faultyRequests = {
    {"GET /stock/a HTTP/1.1\n", 400},
    {"GET\r\n\r\n", 400},
    {"GET /stock/a HTTP/1.1\r\nHost: " + std::string(40'000, 'h'), 431},
    {"POST /book HTTP/1.1\r\nContent-Length: x\r\n\r\n", 400},
    {"POST /book HTTP/1.1\r\nContent-Length: 101\r\n\r\n", 413},
    {"POST /book HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
    {"POST /book HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n", 400},
    {"POST /book HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n", 413},
    {"POST /book HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcd", 400},
    {"POST /book HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;" + std::string(1'100, 'e'), 400},
    {"POST /book HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\ra", 400},
};

/// The status of the RequestError that scanning `bytes` throws; 0 if it throws none.
int statusOf(const std::string &bytes)
{
    try {
        RequestScanner scanner(Limits);
        scanner.scan(bytes);
        return 0;
    } catch (const RequestError &error) {
        return error.status();
    }
}

} // namespace

TEST(RequestScanner, ARequestIsWholeAtItsLastByteHoweverItIsCut)
{
    for (const std::string &request : wholeRequests) {
        for (std::size_t cut = 0; cut < request.size(); ++cut) {
            RequestScanner scanner(Limits);
            scanner.scan(request.substr(0, cut));
            ASSERT_FALSE(scanner.isWhole()) << request << cut;
            scanner.scan(request.substr(cut));
            ASSERT_TRUE(scanner.isWhole()) << request << cut;
        }
        RequestScanner slow(Limits);
        for (const char byte : request) {
            ASSERT_FALSE(slow.isWhole()) << request;
            slow.scan(std::string(1, byte));
        }
        EXPECT_TRUE(slow.isWhole()) << request;
    }
}

TEST(RequestScanner, BytesBehindARequestAreNotOfIt)
{
    for (const std::string &request : wholeRequests) {
        RequestScanner scanner(Limits);
        scanner.scan(request + "\nGET /\n");
        EXPECT_TRUE(scanner.isWhole()) << request;
    }
}

TEST(RequestScanner, ARequestThatCanNotBecomeWholeIsAnErrorAtOnce)
{
    for (const Faulty &request : faultyRequests) {
        EXPECT_EQ(statusOf(request.bytes), request.status) << request.bytes.substr(0, 100);
    }
    std::string trailer = "POST /book HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
    for (int i = 0; i < 64; ++i) {
        trailer += "Name: value\r\n";
    }
    EXPECT_EQ(statusOf(trailer), 400);
}

TEST(RequestScanner, TellsWhetherTheCallerWaitsToSendTheBody)
{
    RequestScanner scanner(Limits);
    scanner.scan("POST /book HTTP/1.1\r\nExpect: 100-Continue\r\nContent-Length: 3\r\n\r\n");
    EXPECT_TRUE(scanner.expectsContinue());
    EXPECT_FALSE(scanner.isWhole());
}

} // namespace fescuepond
