// An HTTP listener: accepts connections, parks idle ones, reads requests and writes responses through POCO Net.

#include "modules/http/httplistener.h"

#include "core/kernel/eventlog.h"
#include "core/kernel/kernel.h"
#include "core/kernel/sharedtable.h"
#include "modules/http/bodyreader.h"
#include "modules/http/httpconnection.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/PollSet.h>
#include <Poco/Net/ServerSocket.h>

#include <linux/filter.h>
#include <sys/socket.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <map>
#include <optional>
#include <thread>
#include <utility>

namespace fescuepond
{

namespace
{

constexpr int AcceptBacklog = 512;
constexpr long PollTimeoutMicroseconds = 250'000;
constexpr Duration EmptyPollSetPause = std::chrono::milliseconds(50);
/// Time for TCP handshakes in progress to complete before the listening socket is closed.
constexpr Duration HandshakeCompletionTime = std::chrono::milliseconds(200);
/// Time for the first request to arrive on the connections that were accepted last.
constexpr Duration FirstRequestGrace = std::chrono::milliseconds(500);
/// For how long the input of a caller is still read after its request was rejected.
constexpr Duration DiscardDuration = std::chrono::milliseconds(500);
constexpr long DiscardPollMicroseconds = 100'000;
constexpr std::size_t DiscardChunkBytes = 16384;
constexpr Duration FinalSendTimeout = std::chrono::milliseconds(50);
constexpr Duration FinalWriteLimit = std::chrono::milliseconds(300);
constexpr Duration FinalWriteCheckInterval = std::chrono::milliseconds(5);
constexpr int StatusBadRequest = 400;

HttpResponse badRequest(int status, const std::string &detail)
{
    return toResponse(CallOutcome::notRun(Reason::BadRequest, detail)).withStatus(status);
}

/// Silently drops SYN packets of new connections with a socket filter. The caller's operating system retransmits them
/// after 1 s and then gets a reset, since the listening socket is closed by then. Handshakes in progress still
/// complete.
void dropSynPackets(const Poco::Net::ServerSocket &socket)
{
    constexpr std::uint32_t FlagsOffset = 13;
    constexpr std::uint32_t SynFlag = 0x02;
    constexpr std::uint32_t Drop = 0;
    constexpr std::uint32_t Keep = 0xFFFFFFFF;
    std::array<sock_filter, 4> program = {{
        BPF_STMT(BPF_LD | BPF_B | BPF_ABS, FlagsOffset),
        BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, SynFlag, 0, 1),
        BPF_STMT(BPF_RET | BPF_K, Drop),
        BPF_STMT(BPF_RET | BPF_K, Keep),
    }};
    const sock_fprog filter = {program.size(), program.data()};
    if (setsockopt(socket.impl()->sockfd(), SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof(filter)) != 0) {
        Event("handshakes_not_refused").with("error", errno);
    }
}

} // namespace

namespace detail
{

/// Shuts down both directions of a connection, so that a worker blocked in a read returns.
static void shutDown(Poco::Net::StreamSocket &socket)
{
    try {
        socket.shutdown();
    } catch (const Poco::Exception &) {
        // The connection is already closed.
    }
}

/// Whether the caller has closed the connection, or at least its sending side. Bytes that were received before and not
/// yet read hide that.
static bool isClosedByCaller(const Poco::Net::Socket &socket)
{
    char byte = 0;
    const auto count = ::recv(socket.impl()->sockfd(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

using HttpConnectionPtr = std::shared_ptr<HttpConnection>;

class HttpListenerState : public std::enable_shared_from_this<HttpListenerState>
{
public:
    HttpListenerState(Kernel &kernel, std::string name, HttpHandler handler)
        : m_kernel(kernel)
        , m_name(std::move(name))
        , m_handler(std::move(handler))
    {
    }

    void setDisconnectHandler(HttpDisconnectHandler handler)
    {
        m_disconnectHandler = std::move(handler);
    }

    void setFinalResponse(const HttpResponse &response)
    {
        m_finalResponse = response;
    }

    void listen(const std::string &address)
    {
        // No SO_REUSEPORT: another process that already listens on the port is an error to report.
        m_serverSocket.bind(Poco::Net::SocketAddress(address), true, false);
        m_serverSocket.listen(AcceptBacklog);
        m_pollSet.add(m_serverSocket, Poco::Net::PollSet::POLL_READ);
        Event("listening").with("listener", m_name).with("address", this->address());
        m_thread = std::thread([this] {
            pollLoop();
        });
    }

    std::string address() const
    {
        return m_serverSocket.address().toString();
    }

    void beginDrain()
    {
        m_isDraining = true;
    }

    void stopAccepting()
    {
        m_isDraining = true;
        if (!m_thread.joinable()) {
            return;
        }
        // The pending close of the idle connections counts as one request in flight, so that the node doesn't exit
        // before it is done.
        ++m_inFlight;
        m_isAcceptStopped = true;
    }

    void stop()
    {
        m_isDraining = true;
        m_isStopped = true;
        if (m_thread.joinable()) {
            m_thread.join();
        }
        finishOpenRequests();
        m_parked.locked([](auto &parked) {
            parked.clear();
        });
    }

    std::size_t requestsInFlight() const
    {
        return m_inFlight;
    }

    std::size_t connectionCount() const
    {
        return m_inFlight + m_parked.locked([](const auto &parked) {
            return parked.size();
        });
    }

private:
    using ParkedConnections = std::map<Poco::Net::Socket, HttpConnectionPtr>;
    /// A request in flight whose caller may disconnect.
    struct WatchedRequest {
        AttemptId m_requestId;
        TimePoint m_since;
        HttpConnectionPtr m_connection;
    };
    using WatchedConnections = std::map<Poco::Net::Socket, WatchedRequest>;
    using OpenRequests = std::map<AttemptId, HttpConnectionPtr>;

    void pollLoop()
    {
        bool isListening = true;
        bool hasIdleConnections = true;
        TimePoint idleCloseTime;
        while (!m_isStopped) {
            if (isListening && m_isAcceptStopped) {
                closeListener();
                isListening = false;
                idleCloseTime = m_kernel.clock().now() + FirstRequestGrace;
            }
            if (!isListening && hasIdleConnections && m_kernel.clock().now() >= idleCloseTime) {
                closeIdleConnections();
                hasIdleConnections = false;
                --m_inFlight;
            }
            if (m_pollSet.empty()) {
                std::this_thread::sleep_for(EmptyPollSetPause);
                continue;
            }
            for (const auto &[socket, mode] : m_pollSet.poll(Poco::Timespan(0, PollTimeoutMicroseconds))) {
                if (isListening && socket == m_serverSocket) {
                    accept();
                    continue;
                }
                if (!handleWatchedEvent(socket)) {
                    dispatchParked(socket);
                }
            }
        }
    }

    /// Watches a connection for a disconnect until the response to its request is written.
    void watch(const HttpConnectionPtr &connection, const AttemptId &requestId)
    {
        if (!m_disconnectHandler) {
            return;
        }
        m_watched.locked([&](WatchedConnections &watched) {
            watched.insert_or_assign(connection->stream(),
                                     WatchedRequest{requestId, m_kernel.clock().now(), connection});
        });
        m_pollSet.add(connection->stream(), Poco::Net::PollSet::POLL_READ);
    }

    /// Stops watching the connection and returns its request, or nothing if the connection isn't watched. The function
    /// that gets the request has to remove the connection from the poll set.
    std::optional<WatchedRequest> unwatch(const Poco::Net::Socket &socket)
    {
        return m_watched.locked([&](WatchedConnections &watched) -> std::optional<WatchedRequest> {
            const auto found = watched.find(socket);
            if (found == watched.end()) {
                return std::nullopt;
            }
            const WatchedRequest request = found->second;
            watched.erase(found);
            return request;
        });
    }

    /// Handles a poll event of a watched connection, which was closed or received a further request early. Returns
    /// false if the connection isn't watched.
    ///
    /// Further requests are read ahead, up to a limit: only then does the end of the input behind them show.
    bool handleWatchedEvent(const Poco::Net::Socket &socket)
    {
        InputState state = InputState::Open;
        // The worker that writes the response stops watching before it uses the connection, so the lock also protects
        // the connection's input.
        const auto request = m_watched.locked([&](WatchedConnections &watched) -> std::optional<WatchedRequest> {
            const auto found = watched.find(socket);
            if (found == watched.end()) {
                return std::nullopt;
            }
            WatchedRequest request = found->second;
            state = request.m_connection->readAhead(m_kernel.clock().now());
            if (state != InputState::Open) {
                watched.erase(found);
                removeFromPollSet(socket);
            }
            return request;
        });
        if (request && state == InputState::Closed) {
            recordDisconnect(*request);
            m_kernel.pool().post(Lane::Decision, [self = shared_from_this(), requestId = request->m_requestId] {
                self->m_disconnectHandler(requestId);
            });
        }
        return request.has_value();
    }

    void recordDisconnect(const WatchedRequest &request) const
    {
        using std::chrono::milliseconds;
        m_kernel.metrics().count("fescuepond_requests_abandoned_total", {{"listener", m_name}});
        Event("caller_disconnected")
            .with("listener", m_name)
            .with("request", request.m_requestId.toString())
            .with("after_ms",
                  std::chrono::duration_cast<milliseconds>(m_kernel.clock().now() - request.m_since).count());
    }

    void removeFromPollSet(const Poco::Net::Socket &socket)
    {
        try {
            m_pollSet.remove(socket);
        } catch (const Poco::Exception &) {
            // The event was reported before the connection was removed from the set.
        }
    }

    /// Closes the listening socket without resetting connections that are open from the caller's point of view.
    void closeListener()
    {
        dropSynPackets(m_serverSocket);
        std::this_thread::sleep_for(HandshakeCompletionTime);
        while (m_serverSocket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
            accept();
        }
        m_pollSet.remove(m_serverSocket);
        m_serverSocket.close();
    }

    /// Closes the parked connections on which no bytes have arrived. The others are served; reading them is posted
    /// before the idle connections stop counting as work in flight.
    void closeIdleConnections()
    {
        const ParkedConnections parked = m_parked.locked([](const ParkedConnections &table) {
            return table;
        });
        for (const auto &entry : parked) {
            const Poco::Net::Socket &socket = entry.first;
            if (isReadable(socket)) {
                dispatchParked(socket);
                continue;
            }
            m_pollSet.remove(socket);
            m_parked.locked([&](ParkedConnections &table) {
                table.erase(socket);
            });
        }
    }

    void accept()
    {
        try {
            Poco::Net::StreamSocket socket = m_serverSocket.acceptConnection();
            socket.setNoDelay(true);
            const auto timeout = Poco::Timespan(
                std::chrono::duration_cast<std::chrono::microseconds>(m_kernel.settings().requestReadTimeout())
                    .count());
            socket.setReceiveTimeout(timeout);
            socket.setSendTimeout(timeout);
            park(std::make_shared<HttpConnection>(socket));
        } catch (const Poco::Exception &error) {
            Event("accept_failed").with("listener", m_name).with("error", error.displayText());
        }
    }

    void park(const HttpConnectionPtr &connection)
    {
        if (m_isStopped) {
            return;
        }
        m_parked.locked([&](ParkedConnections &parked) {
            parked.insert_or_assign(connection->stream(), connection);
        });
        m_pollSet.add(connection->stream(), Poco::Net::PollSet::POLL_READ);
    }

    /// Removes a readable connection from the poll set and posts reading it to a worker.
    void dispatchParked(const Poco::Net::Socket &socket)
    {
        const HttpConnectionPtr connection = m_parked.locked([&](ParkedConnections &parked) -> HttpConnectionPtr {
            const auto found = parked.find(socket);
            if (found == parked.end()) {
                return nullptr;
            }
            HttpConnectionPtr unparked = found->second;
            parked.erase(found);
            return unparked;
        });
        if (connection) {
            // If it isn't parked, a worker owns it now and may have added it again.
            removeFromPollSet(socket);
            postRead(connection, m_kernel.clock().now());
        }
    }

    void postRead(const HttpConnectionPtr &connection, TimePoint arrivedAt)
    {
        ++m_inFlight;
        m_kernel.pool().post(Lane::Http, [self = shared_from_this(), connection, arrivedAt] {
            self->readAndHandle(connection, arrivedAt);
        });
    }

    void readAndHandle(const HttpConnectionPtr &connection, TimePoint arrivedAt)
    {
        const auto request = read(connection, arrivedAt);
        if (!request) {
            --m_inFlight;
            return;
        }
        m_open.locked([&](OpenRequests &open) {
            open.emplace(request->requestId(), connection);
        });
        // A request may wait long to be read. Once its caller has left, the handler must not send it on.
        if (m_disconnectHandler && isClosedByCaller(connection->stream())) {
            recordDisconnect(WatchedRequest{request->requestId(), m_kernel.clock().now(), connection});
            m_disconnectHandler(request->requestId());
        } else {
            watch(connection, request->requestId());
        }
        m_handler(*request,
                  [self = shared_from_this(), requestId = request->requestId()](const HttpResponse &response) {
                      self->complete(requestId, response);
                  });
    }

    void complete(const AttemptId &requestId, const HttpResponse &response)
    {
        const HttpConnectionPtr connection = m_open.locked([&](OpenRequests &open) -> HttpConnectionPtr {
            const auto found = open.find(requestId);
            if (found == open.end()) {
                return nullptr; // The listener has stopped and sent its final response.
            }
            HttpConnectionPtr answered = found->second;
            open.erase(found);
            return answered;
        });
        if (connection) {
            ++m_responsesToWrite;
            m_kernel.pool().post(Lane::Http, [self = shared_from_this(), connection, response] {
                self->write(connection, response);
                --self->m_responsesToWrite;
            });
        }
    }

    /// Sends the final response to all requests that are still open, and waits until responses that were ready before
    /// are written, or FinalWriteLimit has passed.
    void finishOpenRequests()
    {
        const OpenRequests open = m_open.locked([](OpenRequests &table) {
            return std::exchange(table, OpenRequests());
        });
        for (const auto &[requestId, connection] : open) {
            Event("request_cut_off").with("listener", m_name).with("request", requestId.toString());
            if (m_finalResponse) {
                connection->stream().setSendTimeout(
                    Poco::Timespan(std::chrono::duration_cast<std::chrono::microseconds>(FinalSendTimeout).count()));
                write(connection, *m_finalResponse);
            } else {
                --m_inFlight;
            }
        }
        const TimePoint limit = m_kernel.clock().now() + FinalWriteLimit;
        while (m_responsesToWrite > 0 && m_kernel.clock().now() < limit) {
            std::this_thread::sleep_for(FinalWriteCheckInterval);
        }
    }

    /// Reads one request. On an error, returns nothing; a malformed request also gets an error response.
    std::optional<HttpRequest> read(const HttpConnectionPtr &connection, TimePoint arrivedAt)
    {
        const NodeSettings &settings = m_kernel.settings();
        // Limits the time for the whole request, so that a slow sender doesn't hold the worker (slowloris).
        const auto watchdog =
            m_kernel.timers().once(m_kernel.clock().now() + settings.requestReadTimeout(), [connection] {
                shutDown(connection->stream());
            });
        std::optional<HttpRequest> request;
        try {
            request = connection->receive(settings, arrivedAt);
        } catch (const RequestError &error) {
            rejectRequest(connection, error.status(), error.what());
        } catch (const Poco::Net::NoMessageException &) {
            // The caller closed an idle connection.
        } catch (const Poco::Net::MessageException &) {
            rejectRequest(connection, StatusBadRequest, "the request is not valid HTTP");
        } catch (const Poco::Exception &error) {
            Event("request_read_failed").with("listener", m_name).with("error", error.displayText());
        }
        m_kernel.timers().cancel(watchdog);
        return request;
    }

    void rejectRequest(const HttpConnectionPtr &connection, int status, const std::string &detail)
    {
        Event("request_refused").with("listener", m_name).with("status", status).with("detail", detail);
        m_kernel.metrics().count("fescuepond_bad_requests_total", {{"listener", m_name}});
        try {
            connection->respond(badRequest(status, detail), false);
            connection->stream().shutdownSend();
            discardInput(connection->stream());
        } catch (const Poco::Exception &) {
            // The caller has disconnected.
        }
    }

    /// Reads and discards the caller's remaining input for DiscardDuration at most. Closing a socket with unread input
    /// resets the connection, and the caller could lose the response.
    static void discardInput(Poco::Net::StreamSocket &socket)
    {
        const auto end = std::chrono::steady_clock::now() + DiscardDuration;
        std::array<char, DiscardChunkBytes> chunk;
        while (std::chrono::steady_clock::now() < end) {
            const bool hasPendingInput =
                socket.poll(Poco::Timespan(DiscardPollMicroseconds), Poco::Net::Socket::SELECT_READ);
            if (hasPendingInput && socket.receiveBytes(chunk.data(), chunk.size()) <= 0) {
                return;
            }
        }
    }

    void write(const HttpConnectionPtr &connection, const HttpResponse &response)
    {
        if (unwatch(connection->stream())) {
            removeFromPollSet(connection->stream());
        }
        bool keepAlive = false;
        try {
            keepAlive = connection->wantsKeepAlive() && !m_isDraining;
            connection->respond(response, keepAlive);
        } catch (const Poco::Exception &error) {
            keepAlive = false;
            Event("response_write_failed").with("listener", m_name).with("error", error.displayText());
        }
        // Before m_inFlight is decremented, so that an open connection is counted at all times.
        if (keepAlive) {
            awaitNextRequest(connection);
        } else {
            closeAfterResponse(connection);
        }
        --m_inFlight;
    }

    /// Parks the connection, or reads the next request at once if bytes of it have already arrived.
    void awaitNextRequest(const HttpConnectionPtr &connection)
    {
        if (!connection->hasPendingInput()) {
            park(connection);
            return;
        }
        const TimePoint arrivedAt = connection->nextArrivedAt();
        postRead(connection, arrivedAt == TimePoint() ? m_kernel.clock().now() : arrivedAt);
    }

    /// Requests that were sent behind the one answered last are not read. Unread input would reset the connection when
    /// it is closed, and the caller could lose the response.
    void closeAfterResponse(const HttpConnectionPtr &connection) const
    {
        try {
            if (!m_isStopped && isReadable(connection->stream())) {
                connection->stream().shutdownSend();
                discardInput(connection->stream());
            }
        } catch (const Poco::Exception &) {
            // The caller has disconnected.
        }
    }

    Kernel &m_kernel;
    const std::string m_name;
    const HttpHandler m_handler;
    Poco::Net::ServerSocket m_serverSocket;
    Poco::Net::PollSet m_pollSet;
    HttpDisconnectHandler m_disconnectHandler; ///< Optional.
    SharedTable<ParkedConnections> m_parked{LockRank::HttpConnections};
    /// Connections in the poll set whose request is in flight. Disjoint from m_parked.
    SharedTable<WatchedConnections> m_watched{LockRank::HttpConnections};
    /// Requests that were read and have no response yet. Whoever removes an entry writes the response.
    SharedTable<OpenRequests> m_open{LockRank::HttpConnections};
    std::optional<HttpResponse> m_finalResponse; ///< To requests that are open when the listener stops.
    std::atomic<std::size_t> m_inFlight = 0;
    std::atomic<std::size_t> m_responsesToWrite = 0;
    std::atomic<bool> m_isDraining = false; ///< Each response asks the caller to close its connection.
    std::atomic<bool> m_isAcceptStopped = false; ///< No new connections are accepted; implies m_isDraining.
    std::atomic<bool> m_isStopped = false;
    std::thread m_thread;
};

} // namespace detail

HttpListener::HttpListener(Kernel &kernel, std::string name, HttpHandler handler)
    : m_state(std::make_shared<detail::HttpListenerState>(kernel, std::move(name), std::move(handler)))
{
}

HttpListener::~HttpListener()
{
    stop();
}

Result<void> HttpListener::start(const std::string &address)
{
    try {
        m_state->listen(address);
        return {};
    } catch (const Poco::Exception &error) {
        return failure("cannot listen on " + address + ": " + error.displayText());
    }
}

std::string HttpListener::address() const
{
    return m_state->address();
}

void HttpListener::setDisconnectHandler(HttpDisconnectHandler handler)
{
    m_state->setDisconnectHandler(std::move(handler));
}

void HttpListener::setFinalResponse(const HttpResponse &response)
{
    m_state->setFinalResponse(response);
}

void HttpListener::beginDrain()
{
    m_state->beginDrain();
}

void HttpListener::stopAccepting()
{
    m_state->stopAccepting();
}

std::size_t HttpListener::requestsInFlight() const
{
    return m_state->requestsInFlight();
}

std::size_t HttpListener::connectionCount() const
{
    return m_state->connectionCount();
}

void HttpListener::stop()
{
    m_state->stop();
}

} // namespace fescuepond
