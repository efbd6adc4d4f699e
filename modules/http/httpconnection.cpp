// One connection from a caller: reads requests from it and writes responses to it.

#include "modules/http/httpconnection.h"

#include "core/kernel/eventlog.h"
#include "core/settings/nodesettings.h"
#include "modules/http/messageheader.h"

namespace fescuepond
{

namespace
{

constexpr int StatusHeaderTooLarge = 431;

std::string hostWithoutPort(const std::string &host)
{
    return host.substr(0, host.find(':'));
}

/// Throws a RequestError if the headers have more than `limit` bytes.
void requireWithinLimit(const HeaderFields &fields, std::size_t limit)
{
    std::size_t bytes = 0;
    for (const auto &[name, value] : fields) {
        bytes += name.size() + value.size();
    }
    if (bytes > limit) {
        throw RequestError(StatusHeaderTooLarge, "the header exceeds the size limit");
    }
}

std::string headerText(const HttpResponse &response, bool keepAlive)
{
    HeaderFields fields = toEndToEndFields(response.headers());
    fields.emplace_back("Connection", keepAlive ? "Keep-Alive" : "Close");
    fields.emplace_back("Content-Length", std::to_string(response.body().size()));
    return toText(ResponseHeader().withStatus(response.status()).withFields(std::move(fields)));
}

std::string responseText(const HttpResponse &response, bool isHead, bool keepAlive)
{
    std::string text = headerText(response, keepAlive);
    return isHead ? text : text + response.body().bytes();
}

/// What a caller gets instead of a response that can't be written; its call may have been run.
HttpResponse unwritableResponse(const std::string &detail)
{
    return toResponse(CallOutcome::unknown(Reason::AnswerLost, detail));
}

} // namespace

HttpConnection::HttpConnection(const Poco::Net::StreamSocket &socket)
    : HttpStream(socket)
{
}

HttpRequest HttpConnection::receive(const NodeSettings &settings, TimePoint arrivedAt, bool mayWrite)
{
    m_arrivedAt = arrivedAt;
    const RequestHeader header = readRequestHeader(readHeaderText());
    requireWithinLimit(header.fields(), settings.maxHeaderBytes());
    Headers headers = toHeaders(header.fields());
    const std::string host = hostWithoutPort(valueOf(headers, "host"));
    m_wantsKeepAlive = isKeptAlive(header.minorVersion(), headers);
    const BodyFraming framing = framingOf(header.fields());
    if (mayWrite && toLower(valueOf(headers, "expect")) == "100-continue") {
        sendAll("HTTP/1.1 100 Continue\r\n\r\n");
    }
    Body body(fescuepond::readBody(*this, framing, settings.maxBodyBytes()));
    return HttpRequest()
        .withRequestId(AttemptId::random())
        .withMethod(header.method())
        .withTarget(header.target())
        .withHost(host)
        .withHeaders(std::move(headers))
        .withArrivedAt(arrivedAt)
        .withBody(std::move(body));
}

void HttpConnection::respond(const HttpResponse &response, bool isHead, bool keepAlive)
{
    std::string text;
    try {
        text = responseText(response, isHead, keepAlive);
    } catch (const UnwritableHeader &error) {
        Event("response_unwritable").with("status", response.status()).with("error", error.displayText());
        text = responseText(unwritableResponse(error.displayText()), isHead, keepAlive);
    }
    sendAll(text);
}

TimePoint HttpConnection::nextArrivedAt() const
{
    return buffered() > 0 ? m_arrivedAt : nextReadAheadAt();
}

} // namespace fescuepond
