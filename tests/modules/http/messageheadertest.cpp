// Tests of the reader and the writer of HTTP header sections.
//
// They guard against two failures. A value is decoded, joined or cut while it is read, so that it is handed on as
// something else than what was sent. Or bytes inside a header are written where they end it, so that its recipient
// reads a body, more headers or another message that nobody sent.

#include "modules/http/messageheader.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

namespace fescuepond
{

namespace
{

using Poco::Net::MessageException;

const std::string startLine = "GET /stock/a HTTP/1.1\r\n";

RequestHeader headerWith(const std::string &name, const std::string &value)
{
    return RequestHeader()
        .withMethod("GET")
        .withTarget("/stock/a")
        .withMinorVersion(CurrentMinorVersion)
        .withFields({{name, value}});
}

std::string randomText(std::mt19937_64 &random, std::size_t maxLength)
{
    // Bytes that have a meaning in a header occur often.
    static const std::string special("\r\n\0 \t:=?,;\x7F\xFF", 12);
    std::string text(std::uniform_int_distribution<std::size_t>(0, maxLength)(random), ' ');
    std::uniform_int_distribution<int> byte(0, 255);
    for (char &c : text) {
        const bool isSpecial = byte(random) < 64;
        c = isSpecial ? special[static_cast<std::size_t>(byte(random)) % special.size()]
                      : static_cast<char>(byte(random));
    }
    return text;
}

} // namespace

TEST(MessageHeader, EncodedWordsAreHandedOnAsTheyWereSent)
{
    const std::string word = "=?UTF-8?Q?a=0D=0AX-Forged=3A=20b?=";
    const std::string request = startLine + "X-Note: " + word + "\r\n\r\n";
    EXPECT_EQ(readRequestHeader(request), headerWith("X-Note", word));
    EXPECT_EQ(toText(headerWith("X-Note", word)), request);
    const ResponseHeader response = readResponseHeader("HTTP/1.1 200 OK\r\nX-Note: " + word + "\r\n\r\n");
    EXPECT_EQ(response.fields(), (HeaderFields{{"X-Note", word}}));
}

TEST(MessageHeader, WhatCouldBeReadInTwoWaysIsRejected)
{
    const std::vector<std::string> sections = {
        startLine + "Content-Length : 5\r\n\r\n",
        startLine + "Content-Length: 5\r\nContent-Length: 6\r\n\r\n",
        startLine + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
        startLine + "A: b\r\n c\r\n\r\n",
        startLine + "A: b\r\n\tc: d\r\n\r\n",
        startLine + " A: b\r\n\r\n",
        startLine + "no colon\r\n\r\n",
        startLine + ": no name\r\n\r\n",
        startLine + "A: b\rC: d\r\n\r\n",
        startLine + "A: b\nC: d\r\n\r\n",
        startLine + std::string("A: b\0c\r\n\r\n", 10),
        startLine + "A: b\r\n\r\nGET /stock/b HTTP/1.1\r\n\r\n",
        "GET  /stock/a HTTP/1.1\r\n\r\n",
        "GET /stock/a b HTTP/1.1\r\n\r\n",
        "GET /stock/a HTTP/2.0\r\n\r\n",
        "GET /stock/a\r\n\r\n",
        "G\x01T /stock/a HTTP/1.1\r\n\r\n",
        startLine,
        "",
    };
    for (const std::string &section : sections) {
        EXPECT_THROW(readRequestHeader(section), MessageException) << section;
    }
    EXPECT_THROW(readResponseHeader("HTTP/1.1 20 OK\r\n\r\n"), MessageException);
    EXPECT_THROW(readResponseHeader("HTTP/1.1 099 OK\r\n\r\n"), MessageException);
    EXPECT_THROW(readResponseHeader("HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n"), MessageException);
}

TEST(MessageHeader, HeaderThatWouldBreakOutOfItsPlaceIsNotWritten)
{
    const std::vector<std::pair<std::string, std::string>> fields = {
        {"A", "b\r\nC: d"},
        {"A", "b\nC: d"},
        {"A", "b\rC: d"},
        {"A", std::string("b\0", 2)},
        {"A\r\nB", "c"},
        {"A:", "b"},
        {"A ", "b"},
        {"", "b"},
    };
    for (const auto &[name, value] : fields) {
        EXPECT_THROW(toText(headerWith(name, value)), UnwritableHeader) << name << ": " << value;
        EXPECT_THROW(toText(ResponseHeader().withStatus(200).withFields({{name, value}})), UnwritableHeader);
    }
    const RequestHeader good = headerWith("A", "b");
    EXPECT_THROW(toText(good.withMethod("GET /x HTTP/1.1\r\n\r\nGET")), UnwritableHeader);
    EXPECT_THROW(toText(good.withMethod("")), UnwritableHeader);
    EXPECT_THROW(toText(good.withTarget("/a HTTP/1.1\r\nB: c")), UnwritableHeader);
    EXPECT_THROW(toText(good.withTarget("/a b")), UnwritableHeader);
    EXPECT_THROW(toText(good.withTarget("")), UnwritableHeader);
    EXPECT_THROW(toText(ResponseHeader().withStatus(42)), UnwritableHeader);
    EXPECT_THROW(toText(ResponseHeader().withStatus(101)), UnwritableHeader);
}

TEST(MessageHeader, OptionsOfTheConnectionAreReadFromTheWholeList)
{
    EXPECT_TRUE(isKeptAlive(1, {}));
    EXPECT_FALSE(isKeptAlive(0, {}));
    EXPECT_FALSE(isKeptAlive(1, {{"connection", "Close"}}));
    EXPECT_FALSE(isKeptAlive(1, {{"connection", "x-hop , close"}}));
    EXPECT_TRUE(isKeptAlive(1, {{"connection", "x-close"}}));
    EXPECT_TRUE(isKeptAlive(0, {{"connection", "Keep-Alive"}}));
    EXPECT_TRUE(isKeptAlive(1, {{"connection", ","}}));
}

/// Whatever bytes a message holds, either the reader rejects it or each value that it gives stands in the message
/// itself.
RC_GTEST_PROP(MessageHeaderProperty, WhatIsReadIsWhatWasSent, (unsigned seed))
{
    std::mt19937_64 random(seed);
    const std::string name = randomText(random, 8);
    const std::string value = randomText(random, 40);
    const std::string section = startLine + name + ": " + value + "\r\n\r\n";
    try {
        const RequestHeader header = readRequestHeader(section);
        RC_ASSERT(header.fields().size() == 1U);
        RC_ASSERT(header.fields().front().first == name);
        RC_ASSERT(value.find(header.fields().front().second) != std::string::npos);
        RC_ASSERT(readRequestHeader(toText(header)) == header);
    } catch (const MessageException &) {
        // Rejected.
    }
}

/// Whatever a header holds, either the writer rejects it or its reader gets exactly it.
RC_GTEST_PROP(MessageHeaderProperty, WhatIsWrittenIsReadBackUnchanged, (unsigned seed))
{
    std::mt19937_64 random(seed);
    const RequestHeader header = headerWith("X" + randomText(random, 3), "v" + randomText(random, 4) + "w")
                                     .withTarget("/" + randomText(random, 2))
                                     .withMethod("G" + randomText(random, 1));
    try {
        RC_ASSERT(readRequestHeader(toText(header)) == header);
    } catch (const UnwritableHeader &) {
        // Rejected.
    }
}

} // namespace fescuepond
