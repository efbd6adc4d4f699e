// Ends an exchange with the backend server at the call's deadline.

#pragma once

#include "core/kernel/sharedtable.h"
#include "core/kernel/timerservice.h"

#include <Poco/Net/StreamSocket.h>

#include <memory>
#include <optional>

namespace fescuepond
{

/// A connection that another thread may end. Nothing once the exchange is over: the connection may serve another one,
/// or its number another connection.
using AbortableSocket = SharedTable<std::optional<Poco::Net::StreamSocket>>;

/// Ends a connection at a deadline, unless the exchange on it is over before: whoever reads from it or writes to it
/// returns. A limit for each read is not enough, since an answer may come byte by byte.
class DeadlineGuard
{
public:
    DeadlineGuard(TimerService &timers, TimePoint deadline, const Poco::Net::StreamSocket &socket);
    /// After this the connection is not ended any more, even if the deadline passes at this moment.
    ~DeadlineGuard();
    DeadlineGuard(const DeadlineGuard &) = delete;
    DeadlineGuard &operator=(const DeadlineGuard &) = delete;

    /// For ending the connection before the deadline.
    const std::shared_ptr<AbortableSocket> &socket() const
    {
        return m_socket;
    }
    static void shutDown(AbortableSocket &socket);

private:
    TimerService &m_timers;
    const std::shared_ptr<AbortableSocket> m_socket;
    const TimerService::SubscriptionId m_subscription;
};

} // namespace fescuepond
