// One connection to the local backend server.

#include "modules/backend/backendconnection.h"

#include "core/pipeline/headernames.h"
#include "modules/http/httpmessage.h"

#include <Poco/Net/HTTPHeaderStream.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/NetException.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>

namespace fescuepond
{

namespace
{

using Poco::Net::HTTPResponse;
using Poco::Net::MessageException;

constexpr std::size_t LongestLineBytes = 8192;
constexpr std::size_t PieceBytes = 16'384;
constexpr int HexadecimalBase = 16;
constexpr int EndOfStream = std::char_traits<char>::eof();

[[noreturn]] void failTruncated()
{
    throw MessageException("the answer breaks off");
}

void requireRoom(std::size_t bytes, std::size_t mostBytes)
{
    if (bytes > mostBytes) {
        throw MessageException("the answer is too long");
    }
}

std::string toText(const CallRequest &call)
{
    Poco::Net::HTTPRequest request(call.method(), call.path(), Poco::Net::HTTPMessage::HTTP_1_1);
    for (const auto &[name, value] : call.headers()) {
        request.set(name, value);
    }
    request.setHost(call.service());
    request.set(std::string(header::Call), call.context().callId().toString());
    request.setContentLength64(static_cast<Poco::Int64>(call.body().size()));
    std::ostringstream text;
    request.write(text);
    return text.str() + call.body().bytes();
}

/// The headers that are passed on to the caller.
Headers endToEndHeaders(const HTTPResponse &response)
{
    Headers headers;
    for (const auto &[name, value] : response) {
        const std::string lower = toLower(name);
        if (!isHopByHop(lower) && !lower.starts_with(header::InternalPrefix)) {
            headers[lower] = value;
        }
    }
    return headers;
}

bool isInformational(const HTTPResponse &response)
{
    return response.getStatus() < HTTPResponse::HTTP_OK
        && response.getStatus() != HTTPResponse::HTTP_SWITCHING_PROTOCOLS;
}

/// The length of a chunk; extensions after a semicolon are left out.
std::size_t parseChunkLength(const std::string &line)
{
    std::size_t length = 0;
    const auto [end, error] = std::from_chars(line.data(), line.data() + line.size(), length, HexadecimalBase);
    const bool isWhole = end == line.data() + line.size() || *end == ';' || *end == ' ';
    if (error != std::errc() || !isWhole) {
        throw MessageException("the answer has a chunk without a length");
    }
    return length;
}

} // namespace

BackendConnection::BackendConnection(const Poco::Net::StreamSocket &socket)
    : HTTPSession(socket)
{
}

void BackendConnection::send(const CallRequest &call)
{
    m_hasSent = false;
    m_isKeptByAnswer = false;
    sendBytes(toText(call));
}

void BackendConnection::sendBytes(const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const int count = socket().sendBytes(bytes.data() + sent, static_cast<int>(bytes.size() - sent));
        if (count <= 0) {
            throw Poco::Net::ConnectionAbortedException("the backend server takes no more of the request");
        }
        m_hasSent = true;
        sent += static_cast<std::size_t>(count);
    }
}

CallOutcome BackendConnection::receive(const CallRequest &call, std::size_t mostBodyBytes)
{
    const HTTPResponse response = receiveHeader();
    const BodyReader reader = bodyReaderFor(call.method(), response);
    std::string body = (this->*reader)(mostBodyBytes);
    const bool isSelfDelimiting = reader != &BackendConnection::bodyUntilEnd;
    m_isKeptByAnswer = response.getKeepAlive() && isSelfDelimiting;
    return CallOutcome()
        .withState(CallState::Answered)
        .withStatus(response.getStatus())
        .withHeaders(endToEndHeaders(response))
        .withBody(Body(std::move(body)));
}

HTTPResponse BackendConnection::receiveHeader()
{
    HTTPResponse response;
    do {
        response.clear();
        Poco::Net::HTTPHeaderInputStream stream(*this);
        response.read(stream);
        // The library takes the end of the stream for the end of the header.
        if (!stream.good()) {
            failTruncated();
        }
    } while (isInformational(response));
    return response;
}

BackendConnection::BodyReader BackendConnection::bodyReaderFor(const std::string &method, const HTTPResponse &response)
{
    const bool hasNoBody = method == "HEAD" || response.getStatus() < HTTPResponse::HTTP_OK
        || response.getStatus() == HTTPResponse::HTTP_NO_CONTENT
        || response.getStatus() == HTTPResponse::HTTP_NOT_MODIFIED;
    if (hasNoBody) {
        return &BackendConnection::noBody;
    }
    if (response.getChunkedTransferEncoding()) {
        return &BackendConnection::chunkedBody;
    }
    if (!response.hasContentLength()) {
        return &BackendConnection::bodyUntilEnd;
    }
    const auto declared = response.getContentLength64();
    if (declared < 0) {
        throw MessageException("the answer declares a negative length");
    }
    m_declaredLength = static_cast<std::size_t>(declared);
    return &BackendConnection::bodyOfDeclaredLength;
}

std::string BackendConnection::noBody(std::size_t)
{
    return {};
}

std::string BackendConnection::bodyOfDeclaredLength(std::size_t mostBytes)
{
    requireRoom(m_declaredLength, mostBytes);
    std::string body;
    readBytes(body, m_declaredLength);
    return body;
}

std::string BackendConnection::chunkedBody(std::size_t mostBytes)
{
    std::string body;
    while (const std::size_t length = parseChunkLength(readLine())) {
        requireRoom(length, mostBytes - body.size());
        readBytes(body, length);
        if (!readLine().empty()) {
            throw MessageException("a chunk of the answer is longer than it declares");
        }
    }
    // Trailing header fields are read and left out; an empty line ends them.
    while (!readLine().empty()) { }
    return body;
}

std::string BackendConnection::bodyUntilEnd(std::size_t mostBytes)
{
    std::string body;
    for (int c = get(); c != EndOfStream; c = get()) {
        body.push_back(static_cast<char>(c));
        requireRoom(body.size(), mostBytes);
    }
    return body;
}

void BackendConnection::readBytes(std::string &bytes, std::size_t count)
{
    std::array<char, PieceBytes> piece;
    while (count > 0) {
        const int received = read(piece.data(), static_cast<std::streamsize>(std::min(count, piece.size())));
        if (received <= 0) {
            failTruncated();
        }
        bytes.append(piece.data(), static_cast<std::size_t>(received));
        count -= static_cast<std::size_t>(received);
    }
}

std::string BackendConnection::readLine()
{
    std::string line;
    for (char c = readByte(); c != '\n'; c = readByte()) {
        line.push_back(c);
        requireRoom(line.size(), LongestLineBytes);
    }
    if (line.ends_with('\r')) {
        line.pop_back();
    }
    return line;
}

char BackendConnection::readByte()
{
    const int c = get();
    if (c == EndOfStream) {
        failTruncated();
    }
    return static_cast<char>(c);
}

bool BackendConnection::isReusable()
{
    if (!m_isKeptByAnswer || buffered() > 0) {
        return false;
    }
    try {
        return !socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
    } catch (const Poco::Exception &) {
        return false;
    }
}

} // namespace fescuepond
