// An HTTP listener: accepts connections, parks idle ones, reads requests and writes responses through POCO Net.

#include "modules/http/httplistener.h"

#include "core/kernel/eventlog.h"
#include "core/kernel/kernel.h"
#include "core/kernel/sharedtable.h"
#include "core/values/bodymemory.h"
#include "modules/http/bodyreader.h"
#include "modules/http/httpconnection.h"
#include "modules/http/requestpipeline.h"
#include "modules/http/unsentresponse.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/PollSet.h>
#include <Poco/Net/ServerSocket.h>

#include <linux/filter.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

namespace fescuepond
{

namespace
{

constexpr int AcceptBacklog = 512;
/// The part of the process's descriptors that connections to a listener may take: one by this, by ListenerUse.
constexpr std::array<std::size_t, 3> DescriptorDivisors = {2, 4, 16};
/// Until connections are accepted again after that has failed.
constexpr Duration AcceptPause = std::chrono::milliseconds(250);
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
constexpr Duration CheckInterval = std::chrono::milliseconds(250);
/// How long a caller may take to read a response while there is no room for those of others.
constexpr Duration SlowReadLimit = std::chrono::seconds(2);
/// What the node holds for a request in flight besides its body, and besides that of its response if this is long.
constexpr std::size_t OpenRequestBytes = 16'384;
constexpr int StatusBadRequest = 400;
constexpr int StatusUnavailable = 503;

std::size_t maxConnections(const NodeSettings &settings, ListenerUse use)
{
    constexpr std::size_t Unlimited = std::numeric_limits<std::size_t>::max();
    rlimit limit{};
    const bool isLimited = getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
    const std::size_t part =
        isLimited ? limit.rlim_cur / DescriptorDivisors.at(static_cast<std::size_t>(use)) : Unlimited;
    return use == ListenerUse::Callers ? std::min(part, settings.maxConnections()) : part;
}

/// Why a request is answered with an error.
struct Rejection {
    int status;
    std::string detail;
};

/// What there is no room for now, there probably is a little later.
HttpResponse rejectionResponse(const Rejection &rejection)
{
    const bool isUnavailable = rejection.status == StatusUnavailable;
    const Reason reason = isUnavailable ? Reason::Overload : Reason::BadRequest;
    HttpResponse response = toResponse(CallOutcome::notRun(reason, rejection.detail)).withStatus(rejection.status);
    if (!isUnavailable) {
        return response;
    }
    Headers headers = response.headers();
    headers["Retry-After"] = "1";
    return response.withHeaders(std::move(headers));
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

/// Shuts down the input of a connection, so that a worker blocked in a read returns. Responses can still be written.
static void shutDownInput(Poco::Net::StreamSocket &socket)
{
    try {
        socket.shutdownReceive();
    } catch (const Poco::Exception &) {
        // The connection is already closed.
    }
}

/// Shuts down both directions.
static void shutDownBoth(Poco::Net::StreamSocket &socket)
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
    HttpListenerState(Kernel &kernel, std::string name, HttpHandler handler, std::size_t maxConnections)
        : m_kernel(kernel)
        , m_name(std::move(name))
        , m_handler(std::move(handler))
        , m_maxConnections(maxConnections)
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
        m_table.locked([this](Connections &table) {
            m_idle.clear();
            m_arriving.clear();
            table.clear();
        });
    }

    std::size_t requestsInFlight() const
    {
        return m_inFlight;
    }

    std::size_t connectionCount() const
    {
        return m_table.locked([](const Connections &table) {
            return table.size();
        });
    }

private:
    struct Tracked {
        HttpConnectionPtr connection;
        RequestPipeline pipeline;
        std::optional<UnsentResponse> unsent; ///< Sent on as soon as the caller reads.
        int pollMode = 0; ///< The events that the poll set watches for; 0: the connection isn't in it.
        std::uint64_t waitingNumber = 0; ///< Its key in m_idle or m_arriving while it is there.
        TimePoint arrivedAt{}; ///< When the first bytes of the arriving request arrived.
        std::optional<TimePoint> waitsSince; ///< For the rest of the arriving request.
    };
    struct ReadResult {
        std::optional<HttpRequest> request;
        std::optional<Rejection> rejection; ///< At most one of the two is set; none if the connection has ended.
    };
    /// All open connections. Those with input Parked, Watched, Arriving or Loop and those with an unsent response are
    /// in the poll set, and only those.
    using Connections = std::map<Poco::Net::Socket, Tracked>;

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
            if (isListening) {
                resumeAccepting();
            }
            if (m_pollSet.empty()) {
                std::this_thread::sleep_for(EmptyPollSetPause);
                continue;
            }
            const auto ready = m_pollSet.poll(Poco::Timespan(0, PollTimeoutMicroseconds));
            // Of all requests that are ready, also those that are read after others.
            const TimePoint arrivedAt = m_kernel.clock().now();
            for (const auto &[socket, mode] : ready) {
                if (isListening && socket == m_serverSocket) {
                    accept();
                    continue;
                }
                if ((mode & (Poco::Net::PollSet::POLL_WRITE | Poco::Net::PollSet::POLL_ERROR)) != 0) {
                    sendFurther(socket);
                }
                if ((mode & Poco::Net::PollSet::POLL_READ) != 0) {
                    handleInput(socket, arrivedAt);
                }
            }
        }
    }

    /// Handles a poll event: bytes of the next request, or further input while requests are open.
    void handleInput(const Poco::Net::Socket &socket, TimePoint arrivedAt)
    {
        std::vector<AttemptId> abandoned;
        HttpConnectionPtr arriving;
        TimePoint begunAt = arrivedAt;
        m_table.locked([&](Connections &table) {
            const auto found = table.find(socket);
            if (found == table.end()) {
                return;
            }
            Tracked &tracked = found->second;
            if (tracked.pipeline.input() == InputOwner::Watched) {
                abandoned = handleFurtherInput(tracked);
                return;
            }
            if (tracked.pipeline.input() == InputOwner::Parked) {
                ++m_inFlight;
            } else if (tracked.pipeline.input() == InputOwner::Arriving) {
                begunAt = tracked.arrivedAt;
            } else {
                return;
            }
            arriving = tracked.connection;
            setInput(tracked, InputOwner::Loop);
        });
        if (arriving) {
            takeIn(arriving, begunAt, InputOwner::Loop);
        }
        if (!abandoned.empty()) {
            m_kernel.pool().post(Lane::Decision, [self = shared_from_this(), abandoned] {
                self->abandon(abandoned);
            });
        }
    }

    /// Takes in what has arrived of a request whose first bytes arrived at `arrivedAt`, and handles it if it is whole.
    /// `owner` is the calling thread: Loop or Reader.
    void takeIn(const HttpConnectionPtr &connection, TimePoint arrivedAt, InputOwner owner)
    {
        RequestArrival arrival = RequestArrival::Ended;
        std::optional<Rejection> rejection;
        try {
            arrival = connection->takeIn(m_kernel.settings(), m_kernel.clock().now());
        } catch (const RequestError &error) {
            rejection = Rejection{error.status(), error.what()};
        }
        if (arrival == RequestArrival::Partial) {
            waitForRest(connection, arrivedAt);
            return;
        }
        const bool isWhole = arrival == RequestArrival::Whole;
        const bool isSlow = rejection || (isWhole && !connection->isShort());
        if (owner == InputOwner::Loop && isSlow) {
            handOver(connection, arrivedAt, rejection);
            return;
        }
        if (isWhole) {
            readAndHandle(connection, arrivedAt, owner);
            return;
        }
        endWithRejection(connection, rejection);
    }

    /// The polling thread goes on once more of the request arrives.
    void waitForRest(const HttpConnectionPtr &connection, TimePoint arrivedAt)
    {
        m_table.locked([&](Connections &table) {
            const auto found = table.find(connection->stream());
            if (found == table.end()) {
                return;
            }
            Tracked &tracked = found->second;
            tracked.arrivedAt = arrivedAt;
            if (!tracked.waitsSince) {
                tracked.waitsSince = m_kernel.clock().now();
            }
            if (connection->mustContinue() && tracked.pipeline.isEmpty()) {
                continueRequest(*connection);
            }
            setInput(tracked, InputOwner::Arriving);
            scheduleCheck();
        });
    }

    static void continueRequest(HttpConnection &connection)
    {
        try {
            connection.sendContinue();
        } catch (const Poco::Exception &) {
            // The caller has disconnected, which the polling thread notices.
        }
    }

    /// A worker goes on with a request that was taken in, or rejects it.
    void handOver(const HttpConnectionPtr &connection, TimePoint arrivedAt, const std::optional<Rejection> &rejection)
    {
        m_table.locked([&](Connections &table) {
            const auto found = table.find(connection->stream());
            if (found != table.end()) {
                setInput(found->second, InputOwner::Reader);
            }
        });
        m_kernel.pool().post(Lane::Http, [self = shared_from_this(), connection, arrivedAt, rejection] {
            if (rejection) {
                self->endWithRejection(connection, rejection);
            } else {
                self->readAndHandle(connection, arrivedAt, InputOwner::Reader);
            }
        });
    }

    /// Reads ahead on a connection with open requests, up to a limit: only then does the end of the input behind
    /// further requests show. Starts reading the next request if it may run now. Returns the requests whose caller has
    /// left.
    std::vector<AttemptId> handleFurtherInput(Tracked &tracked)
    {
        const InputState state = tracked.connection->readAhead(m_kernel.clock().now());
        if (state == InputState::Closed) {
            setInput(tracked, InputOwner::None);
            tracked.pipeline.end();
            return tracked.pipeline.unanswered();
        }
        if (!readNextIfPossible(tracked) && state != InputState::Open) {
            setInput(tracked, InputOwner::None);
        }
        return {};
    }

    /// Changes who reads the input, and keeps the poll set in line with that.
    void setInput(Tracked &tracked, InputOwner owner)
    {
        m_idle.erase(tracked.waitingNumber);
        m_arriving.erase(tracked.waitingNumber);
        if (owner == InputOwner::Parked) {
            tracked.waitingNumber = ++m_lastWaitingNumber;
            m_idle.emplace(tracked.waitingNumber, tracked.connection);
        } else if (owner == InputOwner::Arriving && tracked.pipeline.isEmpty()) {
            m_arriving.emplace(tracked.waitingNumber, tracked.connection);
        }
        tracked.pipeline.setInput(owner);
        updatePolling(tracked);
    }

    void updatePolling(Tracked &tracked)
    {
        const InputOwner input = tracked.pipeline.input();
        const bool isRead = input == InputOwner::Parked || input == InputOwner::Watched || input == InputOwner::Arriving
            || input == InputOwner::Loop;
        const int mode =
            (isRead ? Poco::Net::PollSet::POLL_READ : 0) | (tracked.unsent ? Poco::Net::PollSet::POLL_WRITE : 0);
        const int former = std::exchange(tracked.pollMode, mode);
        if (mode == former) {
            return;
        }
        const Poco::Net::Socket &socket = tracked.connection->stream();
        if (mode == 0) {
            removeFromPollSet(socket);
        } else if (former == 0) {
            m_pollSet.add(socket, mode);
        } else {
            m_pollSet.update(socket, mode);
        }
    }

    void removeFromPollSet(const Poco::Net::Socket &socket)
    {
        try {
            m_pollSet.remove(socket);
        } catch (const Poco::Exception &) {
            // The caller has reset the connection, which takes it out of the set.
        }
    }

    void startReading(Tracked &tracked, TimePoint arrivedAt)
    {
        setInput(tracked, InputOwner::Reader);
        ++m_inFlight;
        m_kernel.pool().post(Lane::Http, [self = shared_from_this(), connection = tracked.connection, arrivedAt] {
            self->takeIn(connection, arrivedAt, InputOwner::Reader);
        });
    }

    /// Starts reading the request behind the open ones if bytes of it are held and it may run now.
    bool readNextIfPossible(Tracked &tracked)
    {
        // A caller that doesn't read the responses that are there gets no further ones.
        const bool canRead = !m_isDraining && !tracked.unsent && !tracked.pipeline.isBeingRead()
            && tracked.pipeline.canReadNext() && tracked.connection->hasHeldInput();
        if (canRead) {
            startReading(tracked, tracked.connection->nextArrivedAt());
        }
        return canRead;
    }

    /// Closes the listening socket without resetting connections that are open from the caller's point of view.
    void closeListener()
    {
        dropSynPackets(m_serverSocket);
        std::this_thread::sleep_for(HandshakeCompletionTime);
        while (m_serverSocket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
            accept();
        }
        removeFromPollSet(m_serverSocket);
        m_serverSocket.close();
    }

    /// Closes the idle connections on which no bytes have arrived. The others are served; reading them starts before
    /// the idle connections stop counting as work in flight.
    void closeIdleConnections()
    {
        m_table.locked([&](Connections &table) {
            for (auto entry = table.begin(); entry != table.end();) {
                Tracked &tracked = entry->second;
                if (tracked.pipeline.input() != InputOwner::Parked) {
                    ++entry;
                } else if (isReadable(entry->first)) {
                    startReading(tracked, m_kernel.clock().now());
                    ++entry;
                } else {
                    setInput(tracked, InputOwner::None);
                    entry = table.erase(entry);
                }
            }
        });
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
            const auto connection = std::make_shared<HttpConnection>(socket);
            m_table.locked([&](Connections &table) {
                if (table.size() >= m_maxConnections && !evictWaiting(table)) {
                    Event("connection_refused").with("listener", m_name);
                    m_kernel.metrics().count("fescuepond_connections_refused_total", {{"listener", m_name}});
                    return;
                }
                Tracked &tracked = table[socket];
                tracked.connection = connection;
                setInput(tracked, InputOwner::Parked);
            });
        } catch (const Poco::Exception &error) {
            Event("accept_failed").with("listener", m_name).with("error", error.displayText());
            m_table.locked([this](Connections &table) {
                evictWaiting(table);
            });
            pauseAccepting();
        }
    }

    /// Closes the connection that has been idle for longest or, if none is, the one with the oldest request that has
    /// not arrived whole. Returns whether there was one.
    bool evictWaiting(Connections &table)
    {
        const bool isIdle = !m_idle.empty();
        const auto &waiting = isIdle ? m_idle : m_arriving;
        if (waiting.empty()) {
            return false;
        }
        const auto found = table.find(waiting.begin()->second->stream());
        setInput(found->second, InputOwner::None);
        table.erase(found);
        m_inFlight -= isIdle ? 0 : 1;
        Event("connection_evicted", EventSeverity::Routine).with("listener", m_name).with("idle", isIdle);
        m_kernel.metrics().count("fescuepond_connections_evicted_total", {{"listener", m_name}});
        return true;
    }

    /// The connection that can't be accepted would wake the polling thread again at once.
    void pauseAccepting()
    {
        removeFromPollSet(m_serverSocket);
        m_acceptsAgainAt = m_kernel.clock().now() + AcceptPause;
    }

    void resumeAccepting()
    {
        if (m_acceptsAgainAt && m_kernel.clock().now() >= *m_acceptsAgainAt) {
            m_acceptsAgainAt.reset();
            m_pollSet.add(m_serverSocket, Poco::Net::PollSet::POLL_READ);
        }
    }

    /// Reads a request that was taken in as a whole.
    void readAndHandle(const HttpConnectionPtr &connection, TimePoint arrivedAt, InputOwner owner)
    {
        const ReadResult result = receive(connection, arrivedAt);
        if (!result.request) {
            endWithRejection(connection, result.rejection);
            return;
        }
        // The polling thread has just seen whether there is more input; a worker may have got the request later.
        const bool hasCallerLeft =
            connection->isInputClosed() || (owner == InputOwner::Reader && isClosedByCaller(connection->stream()));
        handle(connection, *result.request, hasCallerLeft);
    }

    void endWithRejection(const HttpConnectionPtr &connection, const std::optional<Rejection> &rejection)
    {
        if (rejection) {
            rejectRequest(connection, *rejection);
        }
        endInput(connection);
        --m_inFlight;
    }

    void handle(const HttpConnectionPtr &connection, const HttpRequest &request, bool hasCallerLeft)
    {
        BodyCharge charge;
        const bool hasRoom = charge.add(OpenRequestBytes);
        m_table.locked([&](Connections &table) {
            const auto found = table.find(connection->stream());
            if (found != table.end()) {
                add(found->second, request, std::move(charge));
            }
            m_connectionOf.insert_or_assign(request.requestId(), connection);
        });
        if (!hasRoom) {
            complete(request.requestId(),
                     rejectionResponse({StatusUnavailable, "the requests in flight take too much memory"}));
            return;
        }
        // A request may wait long to be read. Once its caller has left, the handler must not send it on.
        if (m_disconnectHandler && hasCallerLeft) {
            abandon({request.requestId()});
        }
        m_handler(request, [self = shared_from_this(), requestId = request.requestId()](const HttpResponse &response) {
            self->complete(requestId, response);
        });
    }

    /// Adds a request that was read, and hands the input on: to a worker if the next request may run now, and
    /// otherwise to the event loop, which notices that the caller leaves.
    void add(Tracked &tracked, const HttpRequest &request, BodyCharge charge)
    {
        OpenRequest open;
        open.charge = std::move(charge);
        open.id = request.requestId();
        open.wantsKeepAlive = tracked.connection->wantsKeepAlive();
        open.isHead = request.method() == "HEAD";
        open.isSafe = open.isHead || request.method() == "GET";
        tracked.waitsSince.reset();
        tracked.pipeline.add(std::move(open));
        setInput(tracked, m_disconnectHandler ? InputOwner::Watched : InputOwner::None);
        readNextIfPossible(tracked);
    }

    /// No further request can be read from the connection. If its caller has left, cancels the requests before.
    void endInput(const HttpConnectionPtr &connection)
    {
        std::vector<AttemptId> abandoned;
        const bool hasLeft = isClosedByCaller(connection->stream());
        m_table.locked([&](Connections &table) {
            const auto found = table.find(connection->stream());
            if (found == table.end()) {
                return;
            }
            setInput(found->second, InputOwner::None);
            found->second.waitsSince.reset();
            found->second.pipeline.end();
            if (hasLeft) {
                abandoned = found->second.pipeline.unanswered();
            }
            if (found->second.pipeline.isEmpty()) {
                table.erase(found);
            }
        });
        abandon(abandoned);
    }

    /// Cancels requests whose caller has left.
    void abandon(const std::vector<AttemptId> &requests) const
    {
        for (const AttemptId &requestId : requests) {
            m_kernel.metrics().count("fescuepond_requests_abandoned_total", {{"listener", m_name}});
            Event("caller_disconnected").with("listener", m_name).with("request", requestId.toString());
            if (m_disconnectHandler) {
                m_disconnectHandler(requestId);
            }
        }
    }

    void complete(const AttemptId &requestId, const HttpResponse &response)
    {
        const HttpConnectionPtr connection = m_table.locked([&](Connections &table) -> HttpConnectionPtr {
            const auto known = m_connectionOf.extract(requestId);
            // There is none if the listener has stopped and sent its final response, or the connection has failed.
            const auto found = known.empty() ? table.end() : table.find(known.mapped()->stream());
            const bool mustWrite = found != table.end() && found->second.pipeline.complete(requestId, response);
            m_writers += mustWrite ? 1 : 0;
            return mustWrite ? known.mapped() : nullptr;
        });
        if (connection) {
            writeWithoutWaiting(connection);
        }
    }

    /// Writes the responses that are there, in the order of their requests. The polling thread goes on as soon as that
    /// would wait.
    void writeWithoutWaiting(const HttpConnectionPtr &connection)
    {
        while (const auto next = nextToWrite(connection)) {
            UnsentResponse response(HttpConnection::encode(next->response, next->isHead, next->keepAlive),
                                    next->keepAlive,
                                    m_kernel.clock().now());
            if (!send(connection, response)) {
                keepUnsent(connection, std::move(response));
                return;
            }
            if (!next->keepAlive) {
                closeLater(connection);
                return;
            }
            --m_inFlight;
        }
        --m_writers;
    }

    /// Sends what can be sent without waiting. Returns whether nothing is left to be sent.
    bool send(const HttpConnectionPtr &connection, UnsentResponse &response)
    {
        try {
            return response.sendAvailable(*connection, m_kernel.clock().now());
        } catch (const Poco::Exception &error) {
            writeFailed(connection, error);
            return true;
        }
    }

    void keepUnsent(const HttpConnectionPtr &connection, UnsentResponse response)
    {
        const bool isKept = m_table.locked([&](Connections &table) {
            const auto found = table.find(connection->stream());
            if (found == table.end()) {
                return false;
            }
            found->second.unsent = std::move(response);
            updatePolling(found->second);
            scheduleCheck();
            return true;
        });
        if (!isKept) {
            --m_inFlight;
            --m_writers;
        }
    }

    /// Goes on with a response of which a part wasn't sent yet.
    void sendFurther(const Poco::Net::Socket &socket)
    {
        HttpConnectionPtr connection;
        std::optional<UnsentResponse> response;
        m_table.locked([&](Connections &table) {
            const auto found = table.find(socket);
            if (found != table.end() && found->second.unsent) {
                connection = found->second.connection;
                response = std::exchange(found->second.unsent, std::nullopt);
            }
        });
        if (!response) {
            return;
        }
        if (!send(connection, *response)) {
            keepUnsent(connection, *std::move(response));
            return;
        }
        m_table.locked([&](Connections &table) {
            const auto found = table.find(socket);
            if (found != table.end()) {
                updatePolling(found->second);
            }
        });
        if (!response->keepAlive()) {
            closeLater(connection);
            return;
        }
        --m_inFlight;
        writeWithoutWaiting(connection);
    }

    /// Closes the connection on a worker, after the last response: unread input is discarded before, which takes time.
    void closeLater(const HttpConnectionPtr &connection)
    {
        m_kernel.pool().post(Lane::Http, [self = shared_from_this(), connection] {
            self->closeAfterResponse(connection);
            --self->m_inFlight;
            self->writeWithoutWaiting(connection);
        });
    }

    /// Subscribes to the next check of the connections that somebody waits for, unless there is a subscription.
    void scheduleCheck()
    {
        if (m_isStopped || m_isCheckScheduled.exchange(true)) {
            return;
        }
        m_kernel.timers().once(m_kernel.clock().now() + CheckInterval, [listener = weak_from_this()] {
            if (const auto self = listener.lock()) {
                self->m_isCheckScheduled = false;
                self->checkConnections();
            }
        });
    }

    /// Shuts down connections whose caller takes too long, for a request or for a response. The polling thread notices
    /// it.
    void checkConnections()
    {
        const TimePoint now = m_kernel.clock().now();
        const std::uint64_t rejected = rejectedBodyCharges();
        const bool isMemoryShort = rejected != m_seenRejections.exchange(rejected);
        bool isCheckNeeded = false;
        m_table.locked([&](Connections &table) {
            for (auto &[socket, tracked] : table) {
                if (tracked.unsent) {
                    checkUnsent(tracked, now, isMemoryShort);
                }
                if (tracked.waitsSince) {
                    checkArriving(tracked, now);
                }
                isCheckNeeded = isCheckNeeded || tracked.unsent || tracked.waitsSince;
            }
        });
        if (isCheckNeeded) {
            scheduleCheck();
        }
    }

    /// A caller has to go on reading its response and, while there is no room for those of others, to read it soon.
    void checkUnsent(Tracked &tracked, TimePoint now, bool isMemoryShort)
    {
        const bool isStuck = now - tracked.unsent->lastProgress() > m_kernel.settings().requestReadTimeout();
        const bool isSlow = isMemoryShort && now - tracked.unsent->since() > SlowReadLimit;
        if (!isStuck && !isSlow) {
            return;
        }
        Event("slow_reader_closed")
            .with("listener", m_name)
            .with("reason", isStuck ? "no-progress" : "memory")
            .with("unsent", tracked.unsent->unsentBytes());
        m_kernel.metrics().count("fescuepond_slow_readers_closed_total", {{"listener", m_name}});
        shutDownBoth(tracked.connection->stream());
    }

    /// A request has to arrive whole within a time limit. Responses to those before it can still be written.
    void checkArriving(Tracked &tracked, TimePoint now)
    {
        const bool hasArrived = tracked.pipeline.input() != InputOwner::Arriving;
        if (hasArrived || now - *tracked.waitsSince <= m_kernel.settings().requestReadTimeout()) {
            return;
        }
        if (tracked.pipeline.isEmpty()) {
            shutDownBoth(tracked.connection->stream());
        } else {
            shutDownInput(tracked.connection->stream());
        }
    }

    void writeFailed(const HttpConnectionPtr &connection, const Poco::Exception &error)
    {
        Event("response_write_failed").with("listener", m_name).with("error", error.displayText());
        dropOpenRequests(connection);
    }

    std::optional<ResponseToWrite> nextToWrite(const HttpConnectionPtr &connection)
    {
        return m_table.locked([&](Connections &table) -> std::optional<ResponseToWrite> {
            const auto found = table.find(connection->stream());
            if (found == table.end()) {
                return std::nullopt;
            }
            Tracked &tracked = found->second;
            auto next = tracked.pipeline.nextToWrite(m_isDraining);
            if (!next && tracked.pipeline.isEmpty()) {
                allResponsesWritten(table, found);
            } else {
                readNextIfPossible(tracked);
            }
            return next;
        });
    }

    /// The connection waits for its next request, or is closed.
    void allResponsesWritten(Connections &table, Connections::iterator entry)
    {
        Tracked &tracked = entry->second;
        if (tracked.pipeline.isBeingRead()) {
            return;
        }
        if (tracked.pipeline.isEnding() || m_isStopped) {
            setInput(tracked, InputOwner::None);
            table.erase(entry);
            return;
        }
        // Held input doesn't show in the poll set.
        if (tracked.connection->hasHeldInput()) {
            startReading(tracked, tracked.connection->nextArrivedAt());
            return;
        }
        setInput(tracked, InputOwner::Parked);
    }

    /// The connection has failed: cancels the requests behind the one whose response could not be written.
    void dropOpenRequests(const HttpConnectionPtr &connection)
    {
        std::vector<AttemptId> dropped;
        m_table.locked([&](Connections &table) {
            const auto found = table.find(connection->stream());
            if (found == table.end()) {
                return;
            }
            found->second.pipeline.end();
            dropped = found->second.pipeline.unanswered();
            m_inFlight -= found->second.pipeline.takeAll().size();
            for (const AttemptId &requestId : dropped) {
                m_connectionOf.erase(requestId);
            }
        });
        abandon(dropped);
    }

    /// Waits until responses that are ready are written, or FinalWriteLimit has passed, and then sends the final
    /// response to all requests that are still open.
    void finishOpenRequests()
    {
        const TimePoint limit = m_kernel.clock().now() + FinalWriteLimit;
        while (m_writers > 0 && m_kernel.clock().now() < limit) {
            sendUnsent();
            std::this_thread::sleep_for(FinalWriteCheckInterval);
        }
        std::deque<std::pair<HttpConnectionPtr, std::deque<OpenRequest>>> unfinished;
        m_table.locked([&](Connections &table) {
            m_connectionOf.clear();
            for (auto &[socket, tracked] : table) {
                if (!tracked.pipeline.isWriting()) {
                    unfinished.emplace_back(tracked.connection, tracked.pipeline.takeAll());
                }
            }
        });
        for (const auto &[connection, requests] : unfinished) {
            finish(connection, requests);
        }
    }

    /// Sends what callers take of unsent responses, in place of the polling thread.
    void sendUnsent()
    {
        std::vector<Poco::Net::Socket> sockets;
        m_table.locked([&](const Connections &table) {
            for (const auto &[socket, tracked] : table) {
                if (tracked.unsent) {
                    sockets.push_back(socket);
                }
            }
        });
        for (const Poco::Net::Socket &socket : sockets) {
            sendFurther(socket);
        }
    }

    void finish(const HttpConnectionPtr &connection, const std::deque<OpenRequest> &requests)
    {
        try {
            connection->stream().setSendTimeout(
                Poco::Timespan(std::chrono::duration_cast<std::chrono::microseconds>(FinalSendTimeout).count()));
            for (const OpenRequest &request : requests) {
                Event("request_cut_off").with("listener", m_name).with("request", request.id.toString());
                const auto &response = request.response ? request.response : m_finalResponse;
                const bool isLast = &request == &requests.back();
                if (response) {
                    connection->respond(*response, request.isHead, !isLast);
                }
            }
        } catch (const Poco::Exception &error) {
            Event("response_write_failed").with("listener", m_name).with("error", error.displayText());
        }
    }

    ReadResult receive(const HttpConnectionPtr &connection, TimePoint arrivedAt) const
    {
        try {
            return {connection->receive(m_kernel.settings(), arrivedAt), {}};
        } catch (const RequestError &error) {
            return {{}, Rejection{error.status(), error.what()}};
        } catch (const Poco::Net::MessageException &) {
            return {{}, Rejection{StatusBadRequest, "the request is not valid HTTP"}};
        } catch (const Poco::Exception &error) {
            Event("request_read_failed").with("listener", m_name).with("error", error.displayText());
        }
        return {};
    }

    bool hasOpenRequests(const HttpConnectionPtr &connection) const
    {
        return m_table.locked([&](const Connections &table) {
            const auto found = table.find(connection->stream());
            return found != table.end() && !found->second.pipeline.isEmpty();
        });
    }

    /// An error response is sent unless responses to other requests are due before it.
    void rejectRequest(const HttpConnectionPtr &connection, const Rejection &rejection)
    {
        Event("request_refused")
            .with("listener", m_name)
            .with("status", rejection.status)
            .with("detail", rejection.detail);
        m_kernel.metrics().count("fescuepond_bad_requests_total", {{"listener", m_name}});
        if (hasOpenRequests(connection)) {
            return;
        }
        try {
            connection->respond(rejectionResponse(rejection), false, false);
            connection->stream().shutdownSend();
            discardInput(connection->stream());
        } catch (const Poco::Exception &) {
            // The caller has disconnected.
        }
    }

    /// Reads and discards the caller's remaining input for DiscardDuration at most, or until the listener stops.
    /// Closing a socket with unread input resets the connection, and the caller could lose the response.
    void discardInput(Poco::Net::StreamSocket &socket) const
    {
        const auto end = std::chrono::steady_clock::now() + DiscardDuration;
        std::array<char, DiscardChunkBytes> chunk;
        while (!m_isStopped && std::chrono::steady_clock::now() < end) {
            const bool hasPendingInput =
                socket.poll(Poco::Timespan(DiscardPollMicroseconds), Poco::Net::Socket::SELECT_READ);
            if (hasPendingInput && socket.receiveBytes(chunk.data(), chunk.size()) <= 0) {
                return;
            }
        }
    }

    /// Requests that were sent behind the one answered last are not read. Unread input would reset the connection when
    /// it is closed, and the caller could lose the response.
    void closeAfterResponse(const HttpConnectionPtr &connection)
    {
        m_table.locked([&](Connections &table) {
            const auto found = table.find(connection->stream());
            if (found != table.end() && found->second.pipeline.input() != InputOwner::Reader) {
                setInput(found->second, InputOwner::None);
            }
        });
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
    const std::size_t m_maxConnections;
    Poco::Net::ServerSocket m_serverSocket;
    Poco::Net::PollSet m_pollSet;
    HttpDisconnectHandler m_disconnectHandler; ///< Optional.
    SharedTable<Connections> m_table{LockRank::HttpConnections};
    /// Connections of the requests without a response, by request. Protected by the lock of m_table.
    std::map<AttemptId, HttpConnectionPtr> m_connectionOf;
    /// Connections that wait for a request, the one that has waited longest first. Protected by the lock of m_table.
    std::map<std::uint64_t, HttpConnectionPtr> m_idle;
    /// Connections without open requests on which a part of a request has arrived, in the order in which they became
    /// idle before it. Protected by the lock of m_table.
    std::map<std::uint64_t, HttpConnectionPtr> m_arriving;
    std::uint64_t m_lastWaitingNumber = 0; ///< Key of m_idle and m_arriving; protected by the lock of m_table.
    std::optional<TimePoint> m_acceptsAgainAt; ///< Set while no connections are accepted. Of the polling thread.
    std::optional<HttpResponse> m_finalResponse; ///< To requests that are open when the listener stops.
    std::atomic<std::size_t> m_inFlight = 0;
    /// Connections to which responses are being written: by a thread, or as soon as the caller reads.
    std::atomic<std::size_t> m_writers = 0;
    std::atomic<bool> m_isCheckScheduled = false; ///< checkConnections() is subscribed to.
    std::atomic<std::uint64_t> m_seenRejections = 0; ///< rejectedBodyCharges() at the latest check.
    std::atomic<bool> m_isDraining = false; ///< The last response on each connection asks the caller to close it.
    std::atomic<bool> m_isAcceptStopped = false; ///< No new connections are accepted; implies m_isDraining.
    std::atomic<bool> m_isStopped = false;
    std::thread m_thread;
};

} // namespace detail

HttpListener::HttpListener(Kernel &kernel, std::string name, HttpHandler handler, ListenerUse use)
    : m_state(std::make_shared<detail::HttpListenerState>(kernel,
                                                          std::move(name),
                                                          std::move(handler),
                                                          maxConnections(kernel.settings(), use)))
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
