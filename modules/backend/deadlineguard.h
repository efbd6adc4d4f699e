// Shuts down a connection to the backend server at the deadline of the call that uses it.

#pragma once

#include "core/kernel/sharedtable.h"
#include "core/kernel/timerservice.h"

#include <Poco/Net/StreamSocket.h>

#include <memory>
#include <optional>

namespace fescuepond
{

/// A connection that another thread may shut down.
struct AbortableConnection {
    /// Empty once the exchange is over: by then the connection may carry another exchange, or its file descriptor may
    /// be reused.
    std::optional<Poco::Net::StreamSocket> socket;
    bool wasShutDown = false; ///< By this node, which ends a read as if the backend server had closed it.
};
using AbortableSocket = SharedTable<AbortableConnection>;

/// Shuts down a connection at a deadline unless the exchange on it is over before; pending reads and writes then
/// return. A time-out per read doesn't suffice, since a response may arrive byte by byte.
class DeadlineGuard
{
public:
    DeadlineGuard(TimerService &timers, TimePoint deadline, const Poco::Net::StreamSocket &socket);
    /// Once it returns, the connection is not shut down any more, even if the deadline passes at the same moment.
    ~DeadlineGuard();
    DeadlineGuard(const DeadlineGuard &) = delete;
    DeadlineGuard &operator=(const DeadlineGuard &) = delete;

    /// For shutting down the connection before the deadline.
    const std::shared_ptr<AbortableSocket> &socket() const
    {
        return m_socket;
    }
    static void shutDown(AbortableSocket &socket);
    bool wasShutDown() const;

private:
    TimerService &m_timers;
    const std::shared_ptr<AbortableSocket> m_socket;
    const TimerService::SubscriptionId m_subscription;
};

} // namespace fescuepond
