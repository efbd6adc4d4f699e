// One connection to an HTTP server.

#include "modules/http/httpclientconnection.h"

#include <charconv>

namespace fescuepond
{

namespace
{

using Poco::Net::MessageException;

/// Informational responses (1xx) before the one to a request.
constexpr int MaxInformationalResponses = 8;
/// A longer body is sent on its own instead of in a copy behind the header.
constexpr std::size_t MaxCombinedBytes = 16'384;
constexpr int StatusSwitchingProtocols = 101;
constexpr int StatusOk = 200;
constexpr int StatusNoContent = 204;
constexpr int StatusNotModified = 304;

/// The `timeout` parameter of the Keep-Alive header; zero if absent.
Duration keepAliveTimeout(const Headers &headers)
{
    constexpr std::string_view Key = "timeout=";
    const std::string value = toLower(valueOf(headers, "keep-alive"));
    const auto at = value.find(Key);
    if (at == std::string::npos) {
        return Duration::zero();
    }
    unsigned seconds = 0;
    const char *begin = value.data() + at + Key.size();
    const auto [end, error] = std::from_chars(begin, value.data() + value.size(), seconds);
    return error == std::errc() ? Duration(std::chrono::seconds(seconds)) : Duration::zero();
}

std::size_t declaredLength(const std::string &text)
{
    std::size_t length = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), length);
    if (error != std::errc() || end != text.data() + text.size()) {
        throw MessageException("Content-Length is not a number");
    }
    return length;
}

bool isInformational(int status)
{
    return status < StatusOk;
}

} // namespace

HttpClientConnection::HttpClientConnection(const Poco::Net::StreamSocket &socket)
    : HttpStream(socket)
{
}

void HttpClientConnection::send(const RequestHeader &header, const std::string &body)
{
    m_hasSent = false;
    m_isReuseAllowed = false;
    const bool hasNoBody = body.empty() && (header.method() == "GET" || header.method() == "HEAD");
    HeaderFields fields = header.fields();
    if (!hasNoBody) {
        fields.emplace_back("Content-Length", std::to_string(body.size()));
    }
    const auto onProgress = [this] {
        m_hasSent = true;
    };
    const std::string text = toText(header.withFields(std::move(fields)));
    if (body.size() <= MaxCombinedBytes) {
        sendAll(text + body, onProgress);
        return;
    }
    sendAll(text, onProgress);
    sendAll(body, onProgress);
}

HttpResponse HttpClientConnection::receive(const std::string &method, std::size_t maxBodyBytes)
{
    const ResponseHeader header = receiveHeader();
    Headers headers = toHeaders(header.fields());
    const BodyReader reader = bodyReaderFor(method, header.status(), headers);
    Body body = (this->*reader)(maxBodyBytes);
    m_endsWithConnection = reader == &HttpClientConnection::bodyUntilEnd;
    m_isReuseAllowed = isKeptAlive(header.minorVersion(), headers) && !m_endsWithConnection;
    // A response without the header, such as a rejection, changes nothing.
    if (const Duration stated = keepAliveTimeout(headers); stated > Duration::zero()) {
        m_keepAliveTime = stated;
    }
    return HttpResponse().withStatus(header.status()).withHeaders(std::move(headers)).withBody(std::move(body));
}

ResponseHeader HttpClientConnection::receiveHeader()
{
    for (int count = 0; count <= MaxInformationalResponses; ++count) {
        ResponseHeader header = readResponseHeader(readHeaderText());
        if (header.status() == StatusSwitchingProtocols) {
            throw MessageException("the server switched to another protocol, which no request asks for");
        }
        if (!isInformational(header.status())) {
            return header;
        }
    }
    throw MessageException("the server sent only informational responses");
}

HttpClientConnection::BodyReader
HttpClientConnection::bodyReaderFor(const std::string &method, int status, const Headers &headers)
{
    const bool hasNoBody =
        method == "HEAD" || status < StatusOk || status == StatusNoContent || status == StatusNotModified;
    if (hasNoBody) {
        return &HttpClientConnection::noBody;
    }
    const std::string encoding = toLower(valueOf(headers, "transfer-encoding"));
    if (encoding == "chunked") {
        return &HttpClientConnection::chunkedBody;
    }
    if (!encoding.empty()) {
        throw MessageException("unsupported Transfer-Encoding");
    }
    if (!headers.contains("content-length")) {
        return &HttpClientConnection::bodyUntilEnd;
    }
    m_declaredLength = declaredLength(valueOf(headers, "content-length"));
    return &HttpClientConnection::bodyOfDeclaredLength;
}

Body HttpClientConnection::noBody(std::size_t)
{
    return {};
}

Body HttpClientConnection::bodyOfDeclaredLength(std::size_t maxBytes)
{
    return readBody(m_declaredLength, maxBytes);
}

Body HttpClientConnection::chunkedBody(std::size_t maxBytes)
{
    return readChunkedBody(maxBytes);
}

Body HttpClientConnection::bodyUntilEnd(std::size_t maxBytes)
{
    return readBodyUntilEnd(maxBytes);
}

bool HttpClientConnection::isReusable()
{
    if (!allowsReuse()) {
        return false;
    }
    try {
        return !isReadable(stream());
    } catch (const Poco::Exception &) {
        return false;
    }
}

} // namespace fescuepond
