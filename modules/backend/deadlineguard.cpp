// Shuts down a connection to the backend server at the deadline of the call that uses it.

#include "modules/backend/deadlineguard.h"

namespace fescuepond
{

DeadlineGuard::DeadlineGuard(TimerService &timers, TimePoint deadline, const Poco::Net::StreamSocket &socket)
    : m_timers(timers)
    , m_socket(std::make_shared<AbortableSocket>(LockRank::BackendConnections, AbortableConnection{socket}))
    , m_subscription(timers.once(deadline, [socket = m_socket] {
        shutDown(*socket);
    }))
{
}

DeadlineGuard::~DeadlineGuard()
{
    m_socket->locked([](AbortableConnection &connection) {
        connection.socket.reset();
    });
    m_timers.cancel(m_subscription);
}

void DeadlineGuard::shutDown(AbortableSocket &socket)
{
    socket.locked([](AbortableConnection &connection) {
        if (!connection.socket) {
            return;
        }
        connection.wasShutDown = true;
        try {
            connection.socket->shutdown();
        } catch (const Poco::Exception &) {
            // The backend server has already closed the connection.
        }
    });
}

bool DeadlineGuard::wasShutDown() const
{
    return m_socket->locked([](const AbortableConnection &connection) {
        return connection.wasShutDown;
    });
}

} // namespace fescuepond
