// HTTP client of the local backend server.
//
// Connections are kept for reuse. A connection on which a call was abandoned or failed is closed, so that a late
// response is never taken for the response to another call.

#pragma once

#include "core/kernel/clock.h"
#include "core/kernel/sharedtable.h"
#include "core/kernel/timerservice.h"
#include "core/values/call.h"
#include "modules/backend/backendconnection.h"
#include "modules/backend/deadlineguard.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace fescuepond
{

/// What happens to connections to the backend server.
enum class ConnectionEvent {
    Opened,
    ClosedAfterFailure, ///< The exchange failed, timed out or was cancelled, or another one's failure suggests it.
    ClosedAfterRejection, ///< A late copy of the rejection couldn't be told from the response to another call.
    ClosedByServer, ///< The backend server closed the connection or announced it.
    ClosedAsSurplus, ///< Not used for MaxIdleTime, or too many are idle.
};
constexpr std::size_t ConnectionEventCount = 5;

class BackendClient
{
public:
    /// A response with a body longer than `maxBodyBytes` is rejected.
    BackendClient(std::string address, std::size_t maxBodyBytes, const BackendDialect &dialect, TimerService &timers);

    /// Sends `call` and waits for the complete response, until the call's deadline at most. `instance` identifies the
    /// backend server instance that the call is meant for; empty: any.
    CallOutcome run(const CallRequest &call, const std::string &instance);
    /// Keeps a call that isn't sent yet from being sent, and shuts down the connection of an idempotent call that was
    /// sent, so that the backend server can stop working on it.
    void abort(const AttemptId &attempt);
    /// How often `event` has happened so far.
    std::uint64_t count(ConnectionEvent event) const
    {
        return m_counts.at(static_cast<std::size_t>(event));
    }

private:
    using ConnectionPtr = std::unique_ptr<BackendConnection>;

    /// An open connection without a request on it.
    struct IdleConnection {
        ConnectionPtr connection;
        TimePoint since;
    };

    /// An exchange that another thread may abort.
    struct AbortableExchange {
        std::shared_ptr<AbortableSocket> socket; ///< Null until the call is sent.
        bool isAborted = false;
    };
    using AbortableExchanges = std::unordered_map<AttemptId, AbortableExchange>;

    CallOutcome connectAndRun(const CallRequest &call, const std::string &instance);
    CallOutcome runOnIdleConnection(const CallRequest &call, const std::string &instance, ConnectionPtr connection);
    CallOutcome runOnNewConnection(const CallRequest &call, const std::string &instance);
    CallOutcome exchange(const CallRequest &call, const std::string &instance, ConnectionPtr connection);
    CallOutcome sendAndReceive(const CallRequest &call, const std::string &instance, BackendConnection &connection);
    CallOutcome outcomeOfFailure(const CallRequest &call,
                                 const BackendConnection &connection,
                                 bool isAborted,
                                 const std::string &error);
    /// Whether the backend server still accepts connections. The connection opened for the check is kept for reuse.
    bool acceptsConnections(TimePoint deadline);
    /// Checked immediately before the call is sent: its worker may have waited for a connection.
    std::optional<CallOutcome> rejectionBeforeSending(const CallRequest &call);
    void registerExchange(const AttemptId &attempt);
    /// From now on, aborting the exchange shuts down `socket`.
    void setExchangeSocket(const AttemptId &attempt, const std::shared_ptr<AbortableSocket> &socket);
    void unregisterExchange(const AttemptId &attempt);
    bool isExchangeAborted(const AttemptId &attempt);
    ConnectionPtr connect(TimePoint deadline);
    /// The most recently used idle connection, or null if none may be used for the call.
    ConnectionPtr takeIdle(const CallRequest &call);
    void returnToIdle(ConnectionPtr connection);
    /// Closes the connections that have been idle since before `time`.
    void closeIdleSinceBefore(TimePoint time);
    void add(ConnectionEvent event, std::uint64_t times = 1)
    {
        m_counts.at(static_cast<std::size_t>(event)) += times;
    }
    TimePoint now() const
    {
        return m_timers.clock().now();
    }

    const std::string m_address;
    const std::size_t m_maxBodyBytes;
    const BackendDialect &m_dialect;
    TimerService &m_timers;
    /// Least recently used first.
    SharedTable<std::vector<IdleConnection>> m_idle{LockRank::BackendConnections};
    /// Of the calls in run(). The exchange of a non-idempotent call has no socket: once sent, it isn't aborted.
    SharedTable<AbortableExchanges> m_abortable{LockRank::BackendConnections};
    std::array<std::atomic<std::uint64_t>, ConnectionEventCount> m_counts{}; ///< Indexed by ConnectionEvent.
};

} // namespace fescuepond
