// One connection from a caller: reads requests from it and writes responses to it.

#pragma once

#include "modules/http/httpmessage.h"
#include "modules/http/httpstream.h"

#include <string>
#include <string_view>
#include <utility>

namespace fescuepond
{

class NodeSettings;

/// The bytes of a response: a text and, unless the text has it, the body. A long body isn't copied.
class ResponseBytes
{
public:
    ResponseBytes(std::string text, Body body)
        : m_text(std::move(text))
        , m_charge(m_text.size())
        , m_body(std::move(body))
    {
    }
    std::size_t size() const
    {
        return m_text.size() + m_body.size();
    }
    /// A part that begins at `offset`; empty only at the end.
    std::string_view from(std::size_t offset) const;

private:
    std::string m_text;
    BodyCharge m_charge; ///< Of the size of m_text.
    Body m_body;
};

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
    static ResponseBytes encode(const HttpResponse &response, bool isHead, bool keepAlive);
    /// Encodes and sends a response; waits until the operating system has taken it.
    void respond(const HttpResponse &response, bool isHead, bool keepAlive);
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
