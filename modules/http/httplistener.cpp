// An HTTP listener: accepting, parking idle connections, reading requests and writing responses through POCO Net.

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

namespace fescuepond
{

namespace
{

constexpr int AcceptBacklog = 512;
constexpr long PollTimeoutMicroseconds = 250'000;
constexpr Duration EmptyPollSetPause = std::chrono::milliseconds(50);
/// In which a connection whose handshake had begun is completed by the system.
constexpr Duration HandshakeCompletionTime = std::chrono::milliseconds(200);
/// In which the first request of a connection that was taken last arrives.
constexpr Duration FirstRequestGrace = std::chrono::milliseconds(500);
/// A caller that ends its side so soon after its request does so to say that no other follows, and waits for the
/// response.
constexpr Duration HalfCloseWindow = std::chrono::milliseconds(100);
/// In which the input of a caller that was refused is still read.
constexpr Duration DiscardDuration = std::chrono::milliseconds(500);
constexpr long DiscardPollMicroseconds = 100'000;
constexpr std::size_t DiscardChunkBytes = 16384;
constexpr int StatusBadRequest = 400;

HttpResponse badRequest(int status, const std::string &detail)
{
    return toResponse(CallOutcome::notRun(Reason::BadRequest, detail)).withStatus(status);
}

/// Makes the system drop requests for new connections, silently: the caller's system repeats them a second later and is
/// then refused. Connections whose handshake has begun are still completed.
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

/// Ends a connection in both directions; a worker that reads from it returns.
static void shutDown(Poco::Net::StreamSocket &socket)
{
    try {
        socket.shutdown();
    } catch (const Poco::Exception &) {
        // It was closed already.
    }
}

/// Whether the other end has closed the connection. Called when the socket is readable.
static bool isClosedByCaller(const Poco::Net::Socket &socket)
{
    char byte = 0;
    return ::recv(socket.impl()->sockfd(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) <= 0;
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

    void listen(const std::string &address)
    {
        // The port is not shared: another process that listens on it already is a fault to report.
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
        // Counts as one request until the idle connections are closed, so that the node doesn't stop before.
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
    /// A request without a response, whose caller may go away.
    struct WatchedRequest {
        AttemptId m_requestId;
        TimePoint m_since;
    };
    using WatchedConnections = std::map<Poco::Net::Socket, WatchedRequest>;

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

    /// Watches for the end of a connection while its request has no response.
    void watch(const HttpConnectionPtr &connection, const AttemptId &requestId)
    {
        if (!m_disconnectHandler) {
            return;
        }
        m_watched.locked([&](WatchedConnections &watched) {
            watched.insert_or_assign(connection->stream(), WatchedRequest{requestId, m_kernel.clock().now()});
        });
        m_pollSet.add(connection->stream(), Poco::Net::PollSet::POLL_READ);
    }

    /// Ends watching and returns the request; nothing when the connection isn't watched. Whoever gets it takes the
    /// connection out of the poll set.
    std::optional<WatchedRequest> unwatch(const Poco::Net::Socket &socket)
    {
        return m_watched.locked([&](WatchedConnections &watched) -> std::optional<WatchedRequest> {
            const auto found = watched.find(socket);
            if (found == watched.end()) {
                return std::nullopt;
            }
            const WatchedRequest taken = found->second;
            watched.erase(found);
            return taken;
        });
    }

    /// Handles an event of a connection that is watched: it has ended, or the next request came early.
    bool handleWatchedEvent(const Poco::Net::Socket &socket)
    {
        const auto request = unwatch(socket);
        if (!request) {
            return false;
        }
        removeFromPollSet(socket);
        const bool isLikelyHalfClose = m_kernel.clock().now() - request->m_since < HalfCloseWindow;
        if (!isLikelyHalfClose && isClosedByCaller(socket)) {
            m_kernel.metrics().count("fescuepond_requests_abandoned_total", {{"listener", m_name}});
            m_kernel.pool().post(Lane::Decision, [self = shared_from_this(), requestId = request->m_requestId] {
                self->m_disconnectHandler(requestId);
            });
        }
        return true;
    }

    void removeFromPollSet(const Poco::Net::Socket &socket)
    {
        try {
            m_pollSet.remove(socket);
        } catch (const Poco::Exception &) {
            // An event that was on its way when the connection left the set.
        }
    }

    /// Closes the listening socket so that no connection that a caller takes for open is reset.
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

    /// Closes connections on which nothing has arrived; the others are served first.
    void closeIdleConnections()
    {
        const ParkedConnections parked = m_parked.locked([](const ParkedConnections &table) {
            return table;
        });
        for (const auto &entry : parked) {
            const Poco::Net::Socket &socket = entry.first;
            if (isReadable(socket)) {
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

    /// Takes a readable connection out of the poll set and gives it to a worker.
    void dispatchParked(const Poco::Net::Socket &socket)
    {
        removeFromPollSet(socket);
        const HttpConnectionPtr connection = m_parked.locked([&](ParkedConnections &parked) -> HttpConnectionPtr {
            const auto found = parked.find(socket);
            if (found == parked.end()) {
                return nullptr;
            }
            HttpConnectionPtr taken = found->second;
            parked.erase(found);
            return taken;
        });
        if (connection) {
            postRead(connection);
        }
    }

    void postRead(const HttpConnectionPtr &connection)
    {
        ++m_inFlight;
        m_kernel.pool().post(Lane::Http, [self = shared_from_this(), connection] {
            self->readAndHandle(connection);
        });
    }

    void readAndHandle(const HttpConnectionPtr &connection)
    {
        const auto request = read(connection);
        if (!request) {
            --m_inFlight;
            return;
        }
        watch(connection, request->requestId());
        m_handler(*request, [self = shared_from_this(), connection](const HttpResponse &response) {
            self->m_kernel.pool().post(Lane::Http, [self, connection, response] {
                self->write(connection, response);
            });
        });
    }

    /// Reads one request; on a fault the caller is told, where it can be, and nothing is returned.
    std::optional<HttpRequest> read(const HttpConnectionPtr &connection)
    {
        const NodeSettings &settings = m_kernel.settings();
        // A caller that sends its request byte by byte is cut off when its whole time has passed.
        const auto watchdog =
            m_kernel.timers().once(m_kernel.clock().now() + settings.requestReadTimeout(), [connection] {
                shutDown(connection->stream());
            });
        std::optional<HttpRequest> request;
        try {
            request = connection->receive(settings);
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
            // The caller has gone; there is nobody to tell.
        }
    }

    /// Reads what the caller still sends, for a bounded time: closing before would reset the connection, and the caller
    /// would lose the response.
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
        // Parked or read again before it stops counting, so that a connection is never missed.
        if (keepAlive) {
            awaitNextRequest(connection);
        }
        --m_inFlight;
    }

    /// Waits for the next request, or reads it at once if some of it has arrived already.
    void awaitNextRequest(const HttpConnectionPtr &connection)
    {
        bool hasPendingInput = false;
        try {
            hasPendingInput = connection->hasPendingInput();
        } catch (const Poco::Exception &) {
            return;
        }
        if (hasPendingInput) {
            postRead(connection);
            return;
        }
        park(connection);
    }

    Kernel &m_kernel;
    const std::string m_name;
    const HttpHandler m_handler;
    Poco::Net::ServerSocket m_serverSocket;
    Poco::Net::PollSet m_pollSet;
    HttpDisconnectHandler m_disconnectHandler; ///< May be empty.
    SharedTable<ParkedConnections> m_parked{LockRank::HttpConnections};
    /// Connections in the poll set whose request is in flight. None of them is parked.
    SharedTable<WatchedConnections> m_watched{LockRank::HttpConnections};
    std::atomic<std::size_t> m_inFlight = 0;
    std::atomic<bool> m_isDraining = false; ///< Each response closes its connection.
    std::atomic<bool> m_isAcceptStopped = false; ///< No new connections; implies m_isDraining.
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
