// One connection to the local backend server.

#include "modules/backend/backendconnection.h"

#include "core/kernel/eventlog.h"
#include "core/pipeline/headernames.h"
#include "modules/http/httpmessage.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/NetException.h>

#include <charconv>
#include <sstream>

namespace fescuepond
{

namespace
{

using Poco::Net::HTTPResponse;
using Poco::Net::MessageException;

/// Responses to other requests that are skipped before the connection is given up.
constexpr int MaxStrayResponses = 3;
/// Informational responses (1xx) before the one to a request.
constexpr int MaxInformationalResponses = 8;

std::string toText(const CallRequest &call, const Headers &headers)
{
    Poco::Net::HTTPRequest request(call.method(), call.path(), Poco::Net::HTTPMessage::HTTP_1_1);
    for (const auto &[name, value] : headers) {
        request.set(name, value);
    }
    request.setHost(call.host().empty() ? call.service() : call.host());
    const bool hasNoBody = call.body().size() == 0 && (call.method() == "GET" || call.method() == "HEAD");
    if (!hasNoBody) {
        request.setContentLength64(static_cast<Poco::Int64>(call.body().size()));
    }
    std::ostringstream text;
    request.write(text);
    return text.str() + call.body().bytes();
}

/// The headers that are forwarded to the caller.
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

/// The `timeout` parameter of the Keep-Alive header; zero if absent.
Duration keepAliveTimeout(const HTTPResponse &response)
{
    constexpr std::string_view Key = "timeout=";
    const std::string value = toLower(response.get("Keep-Alive", ""));
    const auto at = value.find(Key);
    if (at == std::string::npos) {
        return Duration::zero();
    }
    unsigned seconds = 0;
    const char *begin = value.data() + at + Key.size();
    const auto [end, error] = std::from_chars(begin, value.data() + value.size(), seconds);
    return error == std::errc() ? Duration(std::chrono::seconds(seconds)) : Duration::zero();
}

bool isInformational(const HTTPResponse &response)
{
    return response.getStatus() < HTTPResponse::HTTP_OK
        && response.getStatus() != HTTPResponse::HTTP_SWITCHING_PROTOCOLS;
}

} // namespace

BackendConnection::BackendConnection(const Poco::Net::StreamSocket &socket)
    : HttpStream(socket)
{
}

void BackendConnection::send(const CallRequest &call, const Headers &headers)
{
    m_hasSent = false;
    m_isReuseAllowed = false;
    sendBytes(toText(call, headers));
}

void BackendConnection::sendBytes(const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const int count = socket().sendBytes(bytes.data() + sent, static_cast<int>(bytes.size() - sent));
        if (count <= 0) {
            throw Poco::Net::ConnectionAbortedException(
                "the backend server closed the connection while the request was sent");
        }
        m_hasSent = true;
        sent += static_cast<std::size_t>(count);
    }
}

CallOutcome BackendConnection::receive(const CallRequest &call,
                                       const std::string &instance,
                                       const BackendDialect &dialect,
                                       std::size_t maxBodyBytes)
{
    for (int dropped = 0; dropped <= MaxStrayResponses; ++dropped) {
        CallOutcome response = receiveOne(call, maxBodyBytes);
        if (dialect.isAnswerTo(call, response.headers())) {
            CallOutcome outcome = dialect.interpret(response, instance);
            // A faulty backend server may repeat a rejection, which would pass for the rejection of another call.
            const bool isRejection = outcome.state() == CallState::NotRun;
            m_isReuseAllowed = m_isReuseAllowed && dropped == 0 && !isRejection;
            return outcome;
        }
        Event("stray_answer_dropped")
            .with("attempt", call.context().callerAttempt())
            .with("status", response.status())
            .with("dropped", dropped + 1);
    }
    throw MessageException("the backend server sent only responses to other requests");
}

CallOutcome BackendConnection::receiveOne(const CallRequest &call, std::size_t maxBodyBytes)
{
    const HTTPResponse response = receiveHeader();
    const BodyReader reader = bodyReaderFor(call.method(), response);
    std::string body = (this->*reader)(maxBodyBytes);
    m_endsWithConnection = reader == &BackendConnection::bodyUntilEnd;
    m_isReuseAllowed = response.getKeepAlive() && !m_endsWithConnection;
    m_keepAliveTime = keepAliveTimeout(response);
    return CallOutcome()
        .withState(CallState::Answered)
        .withStatus(response.getStatus())
        .withHeaders(endToEndHeaders(response))
        .withBody(Body(std::move(body)));
}

HTTPResponse BackendConnection::receiveHeader()
{
    HTTPResponse response;
    for (int count = 0; count <= MaxInformationalResponses; ++count) {
        response.clear();
        readHeader(response);
        if (!isInformational(response)) {
            return response;
        }
    }
    throw MessageException("the backend server sent only informational responses");
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
    m_declaredLength = declaredLength(response);
    return &BackendConnection::bodyOfDeclaredLength;
}

std::string BackendConnection::noBody(std::size_t)
{
    return {};
}

std::string BackendConnection::bodyOfDeclaredLength(std::size_t maxBytes)
{
    return readBody(m_declaredLength, maxBytes);
}

std::string BackendConnection::chunkedBody(std::size_t maxBytes)
{
    return readChunkedBody(maxBytes);
}

std::string BackendConnection::bodyUntilEnd(std::size_t maxBytes)
{
    return readBodyUntilEnd(maxBytes);
}

bool BackendConnection::isReusable()
{
    if (!m_isReuseAllowed || buffered() > 0) {
        return false;
    }
    try {
        return !isReadable(socket());
    } catch (const Poco::Exception &) {
        return false;
    }
}

} // namespace fescuepond
