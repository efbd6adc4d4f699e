// HTTP client of the local backend server.
//
// Connections are kept for reuse. One on which a call was abandoned or went wrong is closed, so that a late answer can
// never be taken for the answer to another call.

#pragma once

#include "core/kernel/clock.h"
#include "core/kernel/sharedtable.h"
#include "core/kernel/timerservice.h"
#include "core/values/call.h"
#include "modules/backend/backendconnection.h"
#include "modules/backend/deadlineguard.h"

#include <cstddef>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace fescuepond
{

class BackendClient
{
public:
    /// An answer with a longer body than `maxBodyBytes` is not taken.
    BackendClient(std::string address, std::size_t maxBodyBytes, const BackendDialect &dialect, TimerService &timers);

    /// Sends `call` and waits for the whole answer, until the call's deadline. `instance` names the backend server that
    /// is meant; empty: any.
    CallOutcome run(const CallRequest &call, const std::string &instance);
    /// Ends the exchange of an idempotent call that runs, so that the backend server can stop working on it.
    void abort(const AttemptId &attempt);

private:
    using ConnectionPtr = std::unique_ptr<BackendConnection>;

    /// A connection that waits for its next request.
    struct IdleConnection {
        ConnectionPtr connection;
        TimePoint since;
    };

    /// An exchange that may be ended from another thread.
    struct AbortableExchange {
        std::shared_ptr<AbortableSocket> socket;
        bool isAborted = false;
    };
    using AbortableExchanges = std::unordered_map<AttemptId, AbortableExchange>;

    CallOutcome runOnIdleConnection(const CallRequest &call, const std::string &instance, ConnectionPtr connection);
    CallOutcome runOnNewConnection(const CallRequest &call, const std::string &instance);
    CallOutcome exchange(const CallRequest &call, const std::string &instance, ConnectionPtr connection);
    CallOutcome sendAndReceive(const CallRequest &call, const std::string &instance, BackendConnection &connection);
    CallOutcome outcomeOfFailure(const CallRequest &call,
                                 const BackendConnection &connection,
                                 bool isAborted,
                                 const std::string &error);
    /// Whether the backend server still takes connections; the one that shows it is kept.
    bool acceptsConnections(TimePoint deadline);
    void registerExchange(const AttemptId &attempt, const std::shared_ptr<AbortableSocket> &socket);
    /// Whether the exchange was aborted.
    bool unregisterExchange(const AttemptId &attempt);
    ConnectionPtr connect(TimePoint deadline) const;
    /// The connection that was used last, or null when none can take the call.
    ConnectionPtr takeIdle(const CallRequest &call);
    void returnToIdle(ConnectionPtr connection);
    /// Closes the connections that have been idle since before `time`.
    void closeIdleSinceBefore(TimePoint time);
    TimePoint now() const
    {
        return m_timers.clock().now();
    }

    const std::string m_address;
    const std::size_t m_maxBodyBytes;
    const BackendDialect &m_dialect;
    TimerService &m_timers;
    /// Connections that are open, with no request on them; the one used last at the end.
    SharedTable<std::vector<IdleConnection>> m_idle{LockRank::BackendConnections};
    SharedTable<AbortableExchanges> m_abortable{LockRank::BackendConnections}; ///< Of idempotent calls.
};

} // namespace fescuepond
