// An HTTP listener on the kernel's worker pool.
//
// Idle connections wait in a poll set and hold no worker. A connection that becomes readable is given to a worker of
// the HTTP lane, which reads one whole request and hands it on; the response is written by whichever worker brings it.

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
/// Called on a worker for each request; `respond` is called once, at any time, from any thread.
using HttpHandler = std::function<void(const HttpRequest &, HttpResponder respond)>;

/// Called with the identifier of a request.
using HttpDisconnectHandler = std::function<void(const AttemptId &requestId)>;

class HttpListener
{
public:
    HttpListener(Kernel &kernel, std::string name, HttpHandler handler);
    ~HttpListener();
    HttpListener(const HttpListener &) = delete;
    HttpListener &operator=(const HttpListener &) = delete;

    /// Listens on `address`, an IP and a port; port 0 takes one from the system.
    Result<void> start(const std::string &address);
    /// The address that it listens on, with the port that was given.
    std::string address() const;
    /// Connections are still taken and served, each until its next response, which asks the caller to close it.
    void beginDrain();
    /// `handler` is called, on a worker, for a request that has no response yet when its caller closes the connection.
    /// Only before start().
    void setDisconnectHandler(HttpDisconnectHandler handler);
    /// Takes no new connections and closes idle ones. Those that were taken are served.
    void stopAccepting();
    /// Requests that were read and have no response written yet.
    std::size_t requestsInFlight() const;
    /// Connections that are open.
    std::size_t connectionCount() const;
    void stop();

private:
    std::shared_ptr<detail::HttpListenerState> m_state;
};

} // namespace fescuepond
