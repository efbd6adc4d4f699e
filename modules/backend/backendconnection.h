// One connection to the local backend server, and one exchange of request and answer at a time on it.
//
// POCO's HTTPClientSession connects again and repeats what it sent when a write fails. This class sends a request once
// and knows whether any of it left.

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
    /// `socket` is connected.
    explicit BackendConnection(const Poco::Net::StreamSocket &socket);

    /// Sends the whole request with `headers`; throws a Poco::Exception when it can't.
    void send(const CallRequest &call, const Headers &headers);
    /// Waits for the whole answer. Throws a Poco::Exception when it breaks off, isn't HTTP or has a body of more than
    /// `maxBodyBytes`. A whole answer to another request is dropped.
    CallOutcome receive(const CallRequest &call, const BackendDialect &dialect, std::size_t maxBodyBytes);

    /// Whether any byte of the latest request was given to the system: if not, the backend server can't have run it.
    bool hasSent() const
    {
        return m_hasSent;
    }
    /// Whether another request may follow: the answer allows it, was whole, and nothing came after it.
    bool isReusable();
    /// For how long the backend server keeps the connection open without a request, as it last said; zero: unsaid.
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
    std::size_t m_declaredLength = 0; ///< Of the answer that is being read, when it declares one.
    bool m_hasSent = false;
    bool m_isReuseAllowed = true; ///< False while an exchange goes on.
};

} // namespace fescuepond
