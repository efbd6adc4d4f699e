// One connection from a caller: reads requests from it and writes responses to it.

#include "modules/http/httpconnection.h"

#include "core/kernel/eventlog.h"
#include "core/settings/nodesettings.h"
#include "modules/http/messageheader.h"

#include <charconv>
#include <optional>

namespace fescuepond
{

namespace
{

constexpr int StatusBadRequest = 400;
constexpr int StatusHeaderTooLarge = 431;
/// A longer body is sent on its own instead of in a copy behind the header.
constexpr std::size_t MaxCombinedBytes = 16'384;
constexpr std::string_view LineEnd = "\r\n";
constexpr std::string_view SectionEnd = "\r\n\r\n";

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

/// Where the value of a field begins in a header section in lower case; nothing if it hasn't got the field.
std::optional<std::size_t> valuePosition(std::string_view section, std::string_view name)
{
    const std::string start = std::string(LineEnd).append(name).append(":");
    const std::size_t found = section.find(start);
    return found == std::string_view::npos ? std::nullopt : std::optional(found + start.size());
}

/// The Content-Length of a header section in lower case; 0 if it has none that can be read. Such a request either has
/// no body or is rejected before its body is read.
std::size_t contentLength(std::string_view section)
{
    const auto position = valuePosition(section, "content-length");
    const std::size_t begin = position ? section.find_first_not_of(" \t", *position) : std::string_view::npos;
    std::size_t length = 0;
    if (begin != std::string_view::npos) {
        std::from_chars(section.data() + begin, section.data() + section.size(), length);
    }
    return length;
}

std::string headerText(const HttpResponse &response, bool keepAlive)
{
    HeaderFields fields = toEndToEndFields(response.headers());
    fields.emplace_back("Connection", keepAlive ? "Keep-Alive" : "Close");
    fields.emplace_back("Content-Length", std::to_string(response.body().size()));
    return toText(ResponseHeader().withStatus(response.status()).withFields(std::move(fields)));
}

ResponseBytes responseBytes(const HttpResponse &response, bool isHead, bool keepAlive)
{
    std::string text = headerText(response, keepAlive);
    if (isHead) {
        return {std::move(text), Body()};
    }
    if (response.body().size() > MaxCombinedBytes) {
        return {std::move(text), response.body()};
    }
    return {text + response.body().bytes(), Body()};
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

RequestArrival HttpConnection::takeIn(const NodeSettings &settings, TimePoint now)
{
    InputState state = InputState::Full;
    while (true) {
        // Most requests arrive in one piece and need no scanner.
        if (!hasVisitedInput() && holdsWholeRequest()) {
            return RequestArrival::Whole;
        }
        if (hasHeldInput()) {
            if (!m_scanner) {
                m_scanner.emplace(RequestLimits{settings.maxHeaderBytes(), settings.maxBodyBytes()});
                restartVisit();
            }
            visitFurtherInput([this](std::string_view bytes) {
                m_scanner->scan(bytes);
            });
        }
        if (m_scanner && m_scanner->isWhole()) {
            return RequestArrival::Whole;
        }
        switch (state) {
        case InputState::Open:
            return RequestArrival::Partial;
        case InputState::Closed:
            if (hasHeldInput()) {
                throw RequestError(StatusBadRequest, "the request is shorter than declared");
            }
            return RequestArrival::Ended;
        case InputState::NoRoom:
            throw BodyMemoryExceeded();
        case InputState::Full:
            state = readAhead(now);
            break;
        }
    }
}

void HttpConnection::sendContinue()
{
    m_hasContinued = true;
    sendAvailable("HTTP/1.1 100 Continue\r\n\r\n");
}

bool HttpConnection::isShort() const
{
    return heldBytes() <= MaxReadAheadBytes;
}

HttpRequest HttpConnection::receive(const NodeSettings &settings, TimePoint arrivedAt)
{
    m_scanner.reset();
    m_hasContinued = false;
    restartVisit();
    m_arrivedAt = arrivedAt;
    const RequestHeader header = readRequestHeader(readHeaderText());
    requireWithinLimit(header.fields(), settings.maxHeaderBytes());
    Headers headers = toHeaders(header.fields());
    const std::string host = hostWithoutPort(valueOf(headers, "host"));
    m_wantsKeepAlive = isKeptAlive(header.minorVersion(), headers);
    const BodyFraming framing = framingOf(header.fields());
    Body body = fescuepond::readBody(*this, framing, settings.maxBodyBytes(), NoRoom::GiveUp);
    return HttpRequest()
        .withRequestId(AttemptId::random())
        .withMethod(header.method())
        .withTarget(header.target())
        .withHost(host)
        .withHeaders(std::move(headers))
        .withArrivedAt(arrivedAt)
        .withBody(std::move(body));
}

bool HttpConnection::holdsWholeRequest() const
{
    const std::string_view piece = heldPiece();
    const std::size_t end = piece.find(SectionEnd);
    if (end == std::string_view::npos || piece.starts_with(LineEnd)) {
        return false;
    }
    const std::string section = toLower(piece.substr(0, end + LineEnd.size()));
    if (valuePosition(section, "transfer-encoding") || valuePosition(section, "expect")) {
        return false;
    }
    return contentLength(section) <= piece.size() - end - SectionEnd.size();
}

std::string_view ResponseBytes::from(std::size_t offset) const
{
    const std::string_view text = m_text;
    const std::string_view body = m_body.bytes();
    return offset < text.size() ? text.substr(offset) : body.substr(offset - text.size());
}

ResponseBytes HttpConnection::encode(const HttpResponse &response, bool isHead, bool keepAlive)
{
    try {
        return responseBytes(response, isHead, keepAlive);
    } catch (const UnwritableHeader &error) {
        Event("response_unwritable").with("status", response.status()).with("error", error.displayText());
        return responseBytes(unwritableResponse(error.displayText()), isHead, keepAlive);
    }
}

void HttpConnection::respond(const HttpResponse &response, bool isHead, bool keepAlive)
{
    const ResponseBytes bytes = encode(response, isHead, keepAlive);
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const std::string_view part = bytes.from(sent);
        sendAll(part);
        sent += part.size();
    }
}

TimePoint HttpConnection::nextArrivedAt() const
{
    const TimePoint readAt = nextReadAheadAt();
    return hasHeldInput() && readAt == TimePoint() ? m_arrivedAt : readAt;
}

} // namespace fescuepond
