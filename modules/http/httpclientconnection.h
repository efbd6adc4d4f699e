// One connection to an HTTP server, with one exchange of request and response at a time.
//
// POCO's HTTPClientSession reconnects and sends the request again when a write fails. This class sends a request once
// and records whether any byte of it was sent.

#pragma once

#include "core/kernel/clock.h"
#include "modules/http/httpmessage.h"
#include "modules/http/httpstream.h"
#include "modules/http/messageheader.h"

#include <cstddef>
#include <string>

namespace fescuepond
{

class HttpClientConnection : public HttpStream
{
public:
    /// `socket` must be connected.
    explicit HttpClientConnection(const Poco::Net::StreamSocket &socket);

    /// Sends a request whose body, if it has one, has a length. Throws UnwritableHeader if the request can't be written
    /// as HTTP, and a Poco::Exception if it can't be sent.
    void send(const RequestHeader &header, const std::string &body);
    /// Waits for the complete response to a request with `method`. Its headers have lower-case names. Throws a
    /// Poco::Exception if it is truncated, isn't HTTP or has a body of more than `maxBodyBytes`.
    HttpResponse receive(const std::string &method, std::size_t maxBodyBytes);

    /// Whether any byte of the latest request was written to the socket. If not, the server can't have run it.
    bool hasSent() const
    {
        return m_hasSent;
    }
    /// Whether the response was complete and allows another request on the connection.
    bool allowsReuse() const
    {
        return m_isReuseAllowed && !hasHeldInput();
    }
    /// Whether another request may be sent now: also, no byte has followed the response, and the server has not closed
    /// the connection.
    bool isReusable();
    /// Whether the body of the latest response has no length and ends with the connection.
    bool endsWithConnection() const
    {
        return m_endsWithConnection;
    }
    /// How long the server keeps an idle connection open, from its latest Keep-Alive header; zero: not stated.
    Duration keepAliveTime() const
    {
        return m_keepAliveTime;
    }

protected:
    void forbidReuse()
    {
        m_isReuseAllowed = false;
    }

private:
    using BodyReader = Body (HttpClientConnection::*)(std::size_t maxBytes);

    ResponseHeader receiveHeader();
    BodyReader bodyReaderFor(const std::string &method, int status, const Headers &headers);
    Body noBody(std::size_t maxBytes);
    Body bodyOfDeclaredLength(std::size_t maxBytes);
    Body chunkedBody(std::size_t maxBytes);
    Body bodyUntilEnd(std::size_t maxBytes);

    Duration m_keepAliveTime{};
    std::size_t m_declaredLength = 0; ///< Content-Length of the response being read, if it has one.
    bool m_hasSent = false;
    bool m_endsWithConnection = false;
    bool m_isReuseAllowed = true; ///< False during an exchange.
};

} // namespace fescuepond
