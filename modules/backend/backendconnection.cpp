// One connection to the local backend server.

#include "modules/backend/backendconnection.h"

#include "core/pipeline/headernames.h"
#include "modules/http/httpmessage.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/NetException.h>

#include <sstream>

namespace fescuepond
{

namespace
{

using Poco::Net::HTTPResponse;

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

} // namespace

BackendConnection::BackendConnection(const Poco::Net::StreamSocket &socket)
    : HttpStream(socket)
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
        readHeader(response);
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
    m_declaredLength = declaredLength(response);
    return &BackendConnection::bodyOfDeclaredLength;
}

std::string BackendConnection::noBody(std::size_t)
{
    return {};
}

std::string BackendConnection::bodyOfDeclaredLength(std::size_t mostBytes)
{
    return readBody(m_declaredLength, mostBytes);
}

std::string BackendConnection::chunkedBody(std::size_t mostBytes)
{
    return readChunkedBody(mostBytes);
}

std::string BackendConnection::bodyUntilEnd(std::size_t mostBytes)
{
    return readBodyUntilEnd(mostBytes);
}

bool BackendConnection::isReusable()
{
    if (!m_isKeptByAnswer || buffered() > 0) {
        return false;
    }
    try {
        return !isReadable(socket());
    } catch (const Poco::Exception &) {
        return false;
    }
}

} // namespace fescuepond
