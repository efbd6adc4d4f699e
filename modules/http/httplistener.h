// An HTTP listener on the kernel's worker pool.
//
// Idle connections wait in a poll set and occupy no worker. The thread that polls it reads a request that has arrived
// whole and passes it to the handler; a worker of the HTTP lane reads one that has not. A response is written by the
// thread that completes the request as far as this takes no waiting; the polling thread sends the rest as the caller
// reads, and closes the connection if that takes too long.

#pragma once

#include "modules/http/httpmessage.h"

#include "core/kernel/finding.h"

#include <functional>
#include <memory>
#include <string>

namespace fescuepond
{

class Kernel;

namespace detail
{
class HttpListenerState;
}

using HttpResponder = std::function<void(const HttpResponse &)>;
/// Called for each request, on the polling thread or a worker; it must not wait. It calls `respond` once, at any time,
/// from any thread.
using HttpHandler = std::function<void(const HttpRequest &, HttpResponder respond)>;

/// Called with the identifier of a request whose caller has disconnected.
using HttpDisconnectHandler = std::function<void(const AttemptId &requestId)>;

/// Who connects to a listener. It decides what part of the process's descriptors the connections may take.
enum class ListenerUse {
    Callers, ///< Anybody, and in some environments the backend server: half, and max_connections of the settings.
    BackendServer, ///< A quarter.
    Internal, ///< A sixteenth.
};

/// A connection beyond the listener's part takes the place of the one that has been idle for longest; it is closed if
/// none is idle.
class HttpListener
{
public:
    HttpListener(Kernel &kernel, std::string name, HttpHandler handler, ListenerUse use = ListenerUse::Internal);
    ~HttpListener();
    HttpListener(const HttpListener &) = delete;
    HttpListener &operator=(const HttpListener &) = delete;

    /// Listens on `address`, an IP address and a port. For port 0 the system chooses one.
    Result<void> start(const std::string &address);
    /// The address that it listens on, with the actual port.
    std::string address() const;
    /// Connections are still accepted, but each response from now on asks the caller to close the connection.
    void beginDrain();
    /// `handler` is called, on a worker, if a caller closes the connection before the response to its request is
    /// written. Call before start().
    void setDisconnectHandler(HttpDisconnectHandler handler);
    /// Closes the listening socket and idle connections. Requests on other connections are still served.
    void stopAccepting();
    /// The response to requests that are still unanswered when the listener stops; without it, their connections are
    /// closed. Call before start().
    void setFinalResponse(const HttpResponse &response);
    /// Requests whose response hasn't been written yet, from the moment when reading them is posted to a worker.
    std::size_t requestsInFlight() const;
    /// Open connections.
    std::size_t connectionCount() const;
    void stop();

private:
    std::shared_ptr<detail::HttpListenerState> m_state;
};

} // namespace fescuepond
