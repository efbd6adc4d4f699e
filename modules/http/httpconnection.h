// One connection from a caller: reads requests from it and writes responses to it.

#pragma once

#include "modules/http/httpmessage.h"
#include "modules/http/httpstream.h"
#include "modules/http/requestscanner.h"

#include <optional>
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

/// How much of the next request has arrived.
enum class RequestArrival {
    Partial,
    Whole,
    Ended, ///< The caller has closed the connection between two requests.
};

/// At any time, one thread at most reads from the connection, and one at most writes to it.
class HttpConnection final : public HttpStream
{
public:
    explicit HttpConnection(const Poco::Net::StreamSocket &socket);

    /// Takes in what has arrived of the next request, without waiting. Throws a RequestError if it is malformed,
    /// truncated or too long, or if there is no memory for it.
    RequestArrival takeIn(const NodeSettings &settings, TimePoint now);
    /// Reads a request that was taken in as a whole and arrived at `arrivedAt`. Throws a RequestError or a
    /// Poco::Exception if it is malformed or too long.
    HttpRequest receive(const NodeSettings &settings, TimePoint arrivedAt);
    /// Whether the caller of a request that has arrived in part waits to be told to send the body.
    bool mustContinue() const
    {
        return m_scanner && m_scanner->expectsContinue() && !m_hasContinued;
    }
    /// Tells it to, if no response is due or being written.
    void sendContinue();
    /// Whether the request that was taken in is short enough to be read by a thread that others wait for.
    bool isShort() const;
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
    using HttpStream::isInputClosed;
    /// When the next request arrived, whose first bytes are held; TimePoint() if none are.
    TimePoint nextArrivedAt() const;

private:
    /// Whether a whole request is held in one piece. False also for requests that are framed otherwise than by a
    /// length, or whose caller waits to be told to send the body.
    bool holdsWholeRequest() const;

    std::optional<RequestScanner> m_scanner; ///< Of a request that has arrived in part.
    bool m_hasContinued = false; ///< The caller was told to send the body of that request.
    bool m_wantsKeepAlive = false; ///< Of the latest request.
    TimePoint m_arrivedAt; ///< Of the latest request. Bytes that were read together with it arrived no later.
};

} // namespace fescuepond
