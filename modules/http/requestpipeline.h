// The requests of one connection that were read and are not yet answered, in the order in which they were sent.
//
// A caller may send further requests before the response to the first one. They run concurrently as long as all of them
// have safe methods; nothing is read behind one that has not. Responses are written in the order of the requests.

#pragma once

#include "core/kernel/clock.h"
#include "core/values/bodymemory.h"
#include "modules/http/httpmessage.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace fescuepond
{

/// Requests of one connection that run at a time.
constexpr std::size_t MaxConcurrentRequests = 8;

/// Who reads the input of a connection.
enum class InputOwner {
    Parked, ///< The event loop, which waits for the next request; no request is open.
    Watched, ///< The event loop, while requests are open.
    Arriving, ///< The event loop, which waits for the rest of a request.
    Loop, ///< The event loop, which takes in a request at the moment.
    Reader, ///< A worker that takes in and reads a request; it doesn't wait for the caller.
    None, ///< Nobody, until a response is written.
};

/// One request, and its response once there is one.
struct OpenRequest {
    AttemptId id;
    TimePoint since{};
    bool wantsKeepAlive = false;
    bool isHead = false;
    bool isSafe = false; ///< Its method changes nothing, so that requests behind it may run at the same time.
    std::optional<HttpResponse> response;
    BodyCharge charge; ///< For what the request takes besides bodies.
};

/// A response to be written now.
struct ResponseToWrite {
    HttpResponse response;
    bool isHead = false;
    bool keepAlive = false;
};

class RequestPipeline
{
public:
    InputOwner input() const
    {
        return m_input;
    }
    void setInput(InputOwner owner)
    {
        m_input = owner;
    }
    bool isBeingRead() const
    {
        return m_input == InputOwner::Arriving || m_input == InputOwner::Reader || m_input == InputOwner::Loop;
    }
    /// No further request is read, and the connection is closed after the last response.
    void end()
    {
        m_isEnding = true;
    }
    bool isEnding() const
    {
        return m_isEnding;
    }
    bool isEmpty() const
    {
        return m_requests.empty() && !m_isWriting;
    }
    bool isWriting() const
    {
        return m_isWriting;
    }
    /// Whether the request behind those that are open may be read now.
    bool canReadNext() const;

    void add(OpenRequest request);
    /// Keeps the response to an open request. Returns whether a worker has to write responses now: the first response
    /// is there, and nobody writes.
    bool complete(const AttemptId &id, const HttpResponse &response);
    /// The next response, if it is there; otherwise the worker stops writing. While `isDraining`, the connection ends
    /// with the last response.
    std::optional<ResponseToWrite> nextToWrite(bool isDraining);
    /// Removes and returns the open requests.
    std::deque<OpenRequest> takeAll();
    std::vector<AttemptId> unanswered() const;

private:
    std::deque<OpenRequest> m_requests;
    InputOwner m_input = InputOwner::Parked;
    bool m_isWriting = false; ///< One worker at most writes to the connection.
    bool m_isEnding = false;
};

} // namespace fescuepond
