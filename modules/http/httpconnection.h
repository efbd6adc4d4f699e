// One connection of a caller: reads requests from it and writes responses to it.

#pragma once

#include "modules/http/httpmessage.h"
#include "modules/http/httpstream.h"

#include <Poco/Net/HTTPRequest.h>

#include <string>

namespace fescuepond
{

class NodeSettings;

/// At any time it is either parked in its listener's poll set or owned by one request.
class HttpConnection final : public HttpStream
{
public:
    explicit HttpConnection(const Poco::Net::StreamSocket &socket);

    /// Reads a request. Throws a RequestError or a Poco::Exception when it isn't whole or is too long.
    HttpRequest receive(const NodeSettings &settings);
    void respond(const HttpResponse &response, bool keepAlive);
    /// Whether the caller of the latest request wants to send another one.
    bool wantsKeepAlive() const;
    /// Whether some of the next request has arrived.
    bool hasPendingInput();

private:
    void send(const std::string &bytes);

    Poco::Net::HTTPRequest m_header; ///< Of the latest request.
};

} // namespace fescuepond
