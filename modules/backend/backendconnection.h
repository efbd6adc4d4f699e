// One connection to the local backend server, with one exchange of request and response at a time.
//
// POCO's HTTPClientSession reconnects and sends the request again when a write fails. This class sends a request once
// and records whether any byte of it was sent.

#pragma once

#include "core/pipeline/backenddialect.h"
#include "core/values/call.h"
#include "modules/http/httpstream.h"

#include <Poco/Net/HTTPResponse.h>

#include <cstddef>
#include <string>

namespace fescuepond
{

class BackendConnection final : public HttpStream
{
public:
    /// `socket` must be connected.
    explicit BackendConnection(const Poco::Net::StreamSocket &socket);

    /// Sends the whole request with `headers`. Throws a Poco::Exception if it can't.
    void send(const CallRequest &call, const Headers &headers);
    /// Waits for the complete response. Throws a Poco::Exception if it is truncated, isn't HTTP or has a body of more
    /// than `maxBodyBytes`. Complete responses to other requests are skipped, MaxStrayResponses at most.
    CallOutcome receive(const CallRequest &call,
                        const std::string &instance,
                        const BackendDialect &dialect,
                        std::size_t maxBodyBytes);

    /// Whether any byte of the latest request was written to the socket. If not, the backend server can't have run it.
    bool hasSent() const
    {
        return m_hasSent;
    }
    /// Whether another request may be sent: the response was complete and allows it, and no byte followed it.
    bool isReusable();
    /// Whether the body of the latest response has no length and ends with the connection.
    bool endsWithConnection() const
    {
        return m_endsWithConnection;
    }
    /// How long the backend server keeps an idle connection open, from its latest Keep-Alive header; zero: not stated.
    Duration keepAliveTime() const
    {
        return m_keepAliveTime;
    }

private:
    using BodyReader = std::string (BackendConnection::*)(std::size_t maxBytes);

    void sendBytes(const std::string &bytes);
    Poco::Net::HTTPResponse receiveHeader();
    BodyReader bodyReaderFor(const std::string &method, const Poco::Net::HTTPResponse &response);
    std::string noBody(std::size_t maxBytes);
    std::string bodyOfDeclaredLength(std::size_t maxBytes);
    std::string chunkedBody(std::size_t maxBytes);
    std::string bodyUntilEnd(std::size_t maxBytes);

    CallOutcome receiveOne(const CallRequest &call, std::size_t maxBodyBytes);

    Duration m_keepAliveTime{};
    std::size_t m_declaredLength = 0; ///< Content-Length of the response being read, if it has one.
    bool m_hasSent = false;
    bool m_endsWithConnection = false;
    bool m_isReuseAllowed = true; ///< False during an exchange.
};

} // namespace fescuepond
