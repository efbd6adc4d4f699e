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

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace fescuepond
{

class BackendClient
{
public:
    /// An answer with a longer body than `mostBodyBytes` is not taken.
    BackendClient(std::string address, std::size_t mostBodyBytes, TimerService &timers);

    /// Sends `call` and waits for the whole answer, until the call's deadline.
    CallOutcome run(const CallRequest &call);

private:
    using ConnectionPtr = std::unique_ptr<BackendConnection>;

    /// A connection that waits for its next request.
    struct Idle {
        ConnectionPtr connection;
        TimePoint since;
    };

    CallOutcome runOnKept(const CallRequest &call, ConnectionPtr connection);
    CallOutcome runOnNew(const CallRequest &call);
    CallOutcome exchange(const CallRequest &call, ConnectionPtr connection);
    CallOutcome sendAndReceive(const CallRequest &call, BackendConnection &connection);
    CallOutcome failed(const CallRequest &call, const BackendConnection &connection, const std::string &error) const;
    ConnectionPtr open(TimePoint deadline) const;
    /// The connection that was used last, or null when none can take the call.
    ConnectionPtr takeIdle(const CallRequest &call);
    void keep(ConnectionPtr connection);
    /// Closes the connections that have been idle since before `time`.
    void closeIdleSince(TimePoint time);
    TimePoint now() const
    {
        return m_timers.clock().now();
    }

    const std::string m_address;
    const std::size_t m_mostBodyBytes;
    TimerService &m_timers;
    /// Connections that are open, with no request on them; the one used last at the end.
    SharedTable<std::vector<Idle>> m_idle{LockRank::BackendConnections};
};

} // namespace fescuepond
