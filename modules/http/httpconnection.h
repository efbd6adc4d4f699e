// One connection from a caller: reads requests from it and writes responses to it.

#pragma once

#include "modules/http/httpmessage.h"
#include "modules/http/httpstream.h"

#include <string>

namespace fescuepond
{

class NodeSettings;

/// At any time, one thread at most reads from the connection, and one at most writes to it.
class HttpConnection final : public HttpStream
{
public:
    explicit HttpConnection(const Poco::Net::StreamSocket &socket);

    /// Reads a request that arrived at `arrivedAt`. Throws a RequestError or a Poco::Exception if it is truncated,
    /// malformed or too long. `mayWrite`: no response is due or being written, so a caller that waits for it may be
    /// told to send the body.
    HttpRequest receive(const NodeSettings &settings, TimePoint arrivedAt, bool mayWrite);
    /// Whether a whole request is held, so that receive() would not wait. False for requests that are framed otherwise
    /// than by a length, or whose caller waits to be told to send the body.
    bool holdsWholeRequest() const;
    /// The bytes of a response. The response to a HEAD request has no body. A response that can't be written as HTTP is
    /// replaced by status 502.
    static std::string encode(const HttpResponse &response, bool isHead, bool keepAlive);
    void respond(const HttpResponse &response, bool isHead, bool keepAlive)
    {
        sendAll(encode(response, isHead, keepAlive));
    }
    using HttpStream::sendAll;
    using HttpStream::sendAvailable;
    /// Whether the latest request asks to keep the connection open.
    bool wantsKeepAlive() const
    {
        return m_wantsKeepAlive;
    }
    using HttpStream::hasHeldInput;
    /// When the next request arrived, whose first bytes are held; TimePoint() if none are.
    TimePoint nextArrivedAt() const;

private:
    bool m_wantsKeepAlive = false; ///< Of the latest request.
    TimePoint m_arrivedAt; ///< Of the latest request. Bytes that were read together with it arrived no later.
};

} // namespace fescuepond
