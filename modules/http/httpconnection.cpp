// One connection from a caller: reads requests from it and writes responses to it.

#include "modules/http/httpconnection.h"

#include "core/settings/nodesettings.h"

#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>

#include <sstream>

namespace fescuepond
{

namespace
{

constexpr int StatusBadRequest = 400;
constexpr int StatusHeaderTooLarge = 431;

std::string hostWithoutPort(const std::string &host)
{
    return host.substr(0, host.find(':'));
}

/// The headers with lower-case names. Throws a RequestError if they have more than `limit` bytes.
Headers toHeaders(const Poco::Net::HTTPRequest &request, std::size_t limit)
{
    Headers headers;
    std::size_t bytes = 0;
    for (const auto &[name, value] : request) {
        bytes += name.size() + value.size();
        std::string &combined = headers[toLower(name)];
        combined.append(combined.empty() ? "" : ", ").append(value);
    }
    if (bytes > limit) {
        throw RequestError(StatusHeaderTooLarge, "the header exceeds the size limit");
    }
    return headers;
}

void requireKnownVersion(const Poco::Net::HTTPRequest &request)
{
    const bool isKnown = request.getVersion() == Poco::Net::HTTPMessage::HTTP_1_1
        || request.getVersion() == Poco::Net::HTTPMessage::HTTP_1_0;
    if (!isKnown) {
        throw RequestError(StatusBadRequest, "the request is not HTTP/1.0 or HTTP/1.1");
    }
}

std::string toText(const HttpResponse &response, bool isHead, bool keepAlive)
{
    Poco::Net::HTTPResponse header;
    header.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
    header.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(response.status()));
    for (const auto &[name, value] : response.headers()) {
        header.set(name, value);
    }
    header.setKeepAlive(keepAlive);
    header.setContentLength64(static_cast<Poco::Int64>(response.body().size()));
    std::ostringstream text;
    header.write(text);
    return isHead ? text.str() : text.str() + response.body().bytes();
}

} // namespace

HttpConnection::HttpConnection(const Poco::Net::StreamSocket &socket)
    : HttpStream(socket)
{
}

HttpRequest HttpConnection::receive(const NodeSettings &settings, TimePoint arrivedAt, bool mayWrite)
{
    m_arrivedAt = arrivedAt;
    m_header.clear();
    readHeader(m_header);
    requireKnownVersion(m_header);
    Headers headers = toHeaders(m_header, settings.maxHeaderBytes());
    const BodyFraming framing = framingOf(HeaderFields(m_header.begin(), m_header.end()));
    if (mayWrite && m_header.getExpectContinue()) {
        send("HTTP/1.1 100 Continue\r\n\r\n");
    }
    Body body(fescuepond::readBody(*this, framing, settings.maxBodyBytes()));
    return HttpRequest()
        .withRequestId(AttemptId::random())
        .withMethod(m_header.getMethod())
        .withTarget(m_header.getURI())
        .withHost(hostWithoutPort(m_header.get("Host", "")))
        .withHeaders(std::move(headers))
        .withArrivedAt(arrivedAt)
        .withBody(std::move(body));
}

void HttpConnection::respond(const HttpResponse &response, bool isHead, bool keepAlive)
{
    send(toText(response, isHead, keepAlive));
}

bool HttpConnection::wantsKeepAlive() const
{
    return m_header.getKeepAlive();
}

TimePoint HttpConnection::nextArrivedAt() const
{
    return buffered() > 0 ? m_arrivedAt : nextReadAheadAt();
}

void HttpConnection::send(const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const int count = socket().sendBytes(bytes.data() + sent, static_cast<int>(bytes.size() - sent));
        if (count <= 0) {
            throw Poco::Net::ConnectionAbortedException("the caller closed the connection while the response was sent");
        }
        sent += static_cast<std::size_t>(count);
    }
}

} // namespace fescuepond
