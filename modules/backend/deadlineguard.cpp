// Shuts down a connection to the backend server at the deadline of the call that uses it.

#include "modules/backend/deadlineguard.h"

namespace fescuepond
{

DeadlineGuard::DeadlineGuard(TimerService &timers, TimePoint deadline, const Poco::Net::StreamSocket &socket)
    : m_timers(timers)
    , m_socket(std::make_shared<AbortableSocket>(LockRank::BackendConnections, socket))
    , m_subscription(timers.once(deadline, [socket = m_socket] {
        shutDown(*socket);
    }))
{
}

DeadlineGuard::~DeadlineGuard()
{
    m_socket->locked([](std::optional<Poco::Net::StreamSocket> &socket) {
        socket.reset();
    });
    m_timers.cancel(m_subscription);
}

void DeadlineGuard::shutDown(AbortableSocket &socket)
{
    socket.locked([](std::optional<Poco::Net::StreamSocket> &open) {
        if (!open) {
            return;
        }
        try {
            open->shutdown();
        } catch (const Poco::Exception &) {
            // The backend server has already closed the connection.
        }
    });
}

} // namespace fescuepond
