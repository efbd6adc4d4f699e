// HTTP client of the local backend server, with a pool of idle connections.

#include "modules/backend/backendclient.h"

#include "modules/backend/deadlineguard.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <iterator>

namespace fescuepond
{

namespace
{

/// Above the slots of usual backend servers, which bound the connections in use: as the load varies, a connection that
/// is idle for a moment is needed again.
constexpr std::size_t IdleConnectionLimit = 256;
constexpr Duration MaxIdleTime = std::chrono::seconds(10);
/// A backend server may close an idle connection at the moment when a request is sent on it. It is unknown then whether
/// the request was run, so a non-idempotent one is sent only on a connection that was used within this time.
constexpr Duration NonIdempotentIdleLimit = std::chrono::seconds(1);
constexpr Duration MinTimeout = std::chrono::milliseconds(1);
/// A running backend server accepts a connection from its own VM within this time.
constexpr Duration ConnectCheckTimeout = std::chrono::milliseconds(300);
/// An exiting process closes its connections one after the other; one that it still accepted is closed within this
/// time.
constexpr Duration ExitDetectionTime = std::chrono::milliseconds(20);

/// Longest idle time after which a call may still be sent on `connection`.
Duration idleLimit(const BackendConnection &connection, bool isIdempotent)
{
    const Duration keepAliveTime = connection.keepAliveTime();
    if (keepAliveTime > Duration::zero()) {
        return keepAliveTime / 2;
    }
    return isIdempotent ? Duration::max() : NonIdempotentIdleLimit;
}

Poco::Timespan toPoco(Duration duration)
{
    return Poco::Timespan(std::chrono::duration_cast<std::chrono::microseconds>(duration).count());
}

} // namespace

BackendClient::BackendClient(std::string address,
                             std::size_t maxBodyBytes,
                             const BackendDialect &dialect,
                             TimerService &timers)
    : m_address(std::move(address))
    , m_maxBodyBytes(maxBodyBytes)
    , m_dialect(dialect)
    , m_timers(timers)
{
}

CallOutcome BackendClient::run(const CallRequest &call, const std::string &instance)
{
    const AttemptId &attempt = call.context().attemptId();
    registerExchange(attempt);
    CallOutcome outcome = connectAndRun(call, instance);
    unregisterExchange(attempt);
    return outcome;
}

CallOutcome BackendClient::connectAndRun(const CallRequest &call, const std::string &instance)
{
    if (auto rejection = rejectionBeforeSending(call)) {
        return *std::move(rejection);
    }
    ConnectionPtr idle = takeIdle(call);
    return idle ? runOnIdleConnection(call, instance, std::move(idle)) : runOnNewConnection(call, instance);
}

void BackendClient::abort(const AttemptId &attempt)
{
    const auto socket = m_abortable.locked([&](AbortableExchanges &exchanges) -> std::shared_ptr<AbortableSocket> {
        const auto found = exchanges.find(attempt);
        if (found == exchanges.end()) {
            return nullptr;
        }
        found->second.isAborted = true;
        return found->second.socket;
    });
    if (socket) {
        DeadlineGuard::shutDown(*socket);
    }
}

CallOutcome
BackendClient::runOnIdleConnection(const CallRequest &call, const std::string &instance, ConnectionPtr connection)
{
    const CallOutcome outcome = exchange(call, instance, std::move(connection));
    // Only a call of which no byte was sent may be sent again.
    const bool wasSent = outcome.state() != CallState::NotRun || outcome.backendWasReached();
    return wasSent ? outcome : runOnNewConnection(call, instance);
}

CallOutcome BackendClient::runOnNewConnection(const CallRequest &call, const std::string &instance)
{
    try {
        return exchange(call, instance, connect(call.context().deadline()));
    } catch (const Poco::Exception &error) {
        return CallOutcome::notRun(Reason::BackendUnreachable, "backend server: " + error.displayText());
    }
}

CallOutcome BackendClient::exchange(const CallRequest &call, const std::string &instance, ConnectionPtr connection)
{
    if (auto rejection = rejectionBeforeSending(call)) {
        returnToIdle(std::move(connection));
        return *std::move(rejection);
    }
    const TimePoint begin = now();
    try {
        CallOutcome outcome = sendAndReceive(call, instance, *connection);
        returnToIdle(std::move(connection));
        return outcome.withBackendWasReached(true);
    } catch (const UnwritableHeader &error) {
        return CallOutcome::notRun(Reason::BadRequest, error.displayText());
    } catch (const Poco::Exception &error) {
        const bool isAborted = call.context().idempotent() && isExchangeAborted(call.context().attemptId());
        const std::string text = error.displayText();
        add(ConnectionEvent::ClosedAfterFailure);
        if (!isAborted) {
            // The cause of the failure, such as a network fault, may affect every connection that was open then.
            closeIdleSinceBefore(begin);
        }
        return outcomeOfFailure(call, *connection, isAborted, text);
    }
}

CallOutcome
BackendClient::sendAndReceive(const CallRequest &call, const std::string &instance, BackendConnection &connection)
{
    const TimePoint deadline = call.context().deadline();
    // While the node stops, no timer runs, so the guard alone wouldn't end the exchange.
    const Poco::Timespan remaining = toPoco(std::max(deadline - now(), MinTimeout));
    connection.stream().setSendTimeout(remaining);
    connection.stream().setReceiveTimeout(remaining);
    const DeadlineGuard guard(m_timers, deadline, connection.stream());
    if (call.context().idempotent()) {
        setExchangeSocket(call.context().attemptId(), guard.socket());
    }
    connection.send(call, m_dialect.requestHeaders(call, instance, now()));
    CallOutcome outcome = connection.receive(call, instance, m_dialect, m_maxBodyBytes);
    if (connection.endsWithConnection() && guard.wasShutDown()) {
        throw Poco::Net::ConnectionAbortedException("the connection was shut down inside a body without a length");
    }
    return outcome;
}

CallOutcome BackendClient::outcomeOfFailure(const CallRequest &call,
                                            const BackendConnection &connection,
                                            bool isAborted,
                                            const std::string &error)
{
    if (!connection.hasSent()) {
        return CallOutcome::notRun(Reason::BackendUnreachable, "backend server: " + error);
    }
    const auto unknown = [](Reason reason, const std::string &detail) {
        return CallOutcome::unknown(reason, detail).withBackendWasReached(true);
    };
    if (isAborted) {
        return unknown(Reason::Cancelled, "the caller disconnected while the call was running");
    }
    const TimePoint deadline = call.context().deadline();
    if (now() >= deadline) {
        return unknown(Reason::DeadlineExceeded, "the backend server did not respond before the deadline");
    }
    return unknown(acceptsConnections(deadline) ? Reason::AnswerLost : Reason::BackendLost, "backend server: " + error);
}

bool BackendClient::acceptsConnections(TimePoint deadline)
{
    try {
        ConnectionPtr connection = connect(std::min(deadline, now() + ConnectCheckTimeout));
        if (connection->stream().poll(toPoco(ExitDetectionTime), Poco::Net::Socket::SELECT_READ)) {
            return false;
        }
        returnToIdle(std::move(connection));
        return true;
    } catch (const Poco::Exception &) {
        return false;
    }
}

std::optional<CallOutcome> BackendClient::rejectionBeforeSending(const CallRequest &call)
{
    if (call.context().deadline() <= now()) {
        return CallOutcome::notRun(Reason::DeadlineExceeded, "the deadline passed before the call was run");
    }
    if (isExchangeAborted(call.context().attemptId())) {
        return CallOutcome::notRun(Reason::Cancelled, "the caller cancelled the call before it was sent");
    }
    return std::nullopt;
}

void BackendClient::registerExchange(const AttemptId &attempt)
{
    m_abortable.locked([&](AbortableExchanges &exchanges) {
        exchanges.insert_or_assign(attempt, AbortableExchange{});
    });
}

void BackendClient::setExchangeSocket(const AttemptId &attempt, const std::shared_ptr<AbortableSocket> &socket)
{
    m_abortable.locked([&](AbortableExchanges &exchanges) {
        exchanges[attempt].socket = socket;
    });
}

bool BackendClient::isExchangeAborted(const AttemptId &attempt)
{
    return m_abortable.locked([&](const AbortableExchanges &exchanges) {
        const auto found = exchanges.find(attempt);
        return found != exchanges.end() && found->second.isAborted;
    });
}

void BackendClient::unregisterExchange(const AttemptId &attempt)
{
    m_abortable.locked([&](AbortableExchanges &exchanges) {
        exchanges.erase(attempt);
    });
}

BackendClient::ConnectionPtr BackendClient::connect(TimePoint deadline)
{
    Poco::Net::StreamSocket socket;
    socket.connect(Poco::Net::SocketAddress(m_address), toPoco(std::max(deadline - now(), MinTimeout)));
    socket.setNoDelay(true);
    add(ConnectionEvent::Opened);
    return std::make_unique<BackendConnection>(socket);
}

BackendClient::ConnectionPtr BackendClient::takeIdle(const CallRequest &call)
{
    const bool isIdempotent = call.context().idempotent();
    const TimePoint time = now();
    while (true) {
        ConnectionPtr last = m_idle.locked([&](std::vector<IdleConnection> &idle) -> ConnectionPtr {
            const auto found = std::find_if(idle.rbegin(), idle.rend(), [&](const IdleConnection &entry) {
                return entry.connection->canCarry(call);
            });
            if (found == idle.rend() || time - found->since > idleLimit(*found->connection, isIdempotent)) {
                return nullptr;
            }
            ConnectionPtr connection = std::move(found->connection);
            idle.erase(std::next(found).base());
            return connection;
        });
        if (!last || last->isReusable()) {
            return last;
        }
        add(ConnectionEvent::ClosedByServer);
    }
}

void BackendClient::closeIdleSinceBefore(TimePoint time)
{
    std::vector<IdleConnection> closed;
    m_idle.locked([&](std::vector<IdleConnection> &idle) {
        // Sorted by `since`: returnToIdle() appends.
        const auto end = std::find_if(idle.begin(), idle.end(), [&](const IdleConnection &entry) {
            return entry.since >= time;
        });
        std::move(idle.begin(), end, std::back_inserter(closed));
        idle.erase(idle.begin(), end);
    });
    add(ConnectionEvent::ClosedAfterFailure, closed.size());
}

void BackendClient::returnToIdle(ConnectionPtr connection)
{
    // Whether the server has closed it is checked when it is taken.
    if (!connection->allowsReuse()) {
        add(connection->wasRejected() ? ConnectionEvent::ClosedAfterRejection : ConnectionEvent::ClosedByServer);
        return;
    }
    const TimePoint since = now();
    ConnectionPtr oldest;
    m_idle.locked([&](std::vector<IdleConnection> &idle) {
        // The least recently used one. One for each that is returned is enough to close all that are not needed.
        if (!idle.empty() && (idle.size() >= IdleConnectionLimit || since - idle.front().since > MaxIdleTime)) {
            oldest = std::move(idle.front().connection);
            idle.erase(idle.begin());
        }
        idle.push_back({std::move(connection), since});
    });
    if (oldest) {
        add(ConnectionEvent::ClosedAsSurplus);
    }
}

} // namespace fescuepond
