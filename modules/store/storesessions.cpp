// Pool of keep-alive HTTP connections to the platform.

#include "modules/store/storesessions.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <algorithm>

namespace fescuepond
{

namespace
{

constexpr std::size_t MaxIdleSessions = 2;
/// Shorter than the keep-alive timeout of common HTTP servers, so that a reused connection is seldom closed already.
constexpr Duration MaxIdleTime = std::chrono::seconds(4);

Poco::Timespan toPoco(Duration duration)
{
    return Poco::Timespan(std::chrono::duration_cast<std::chrono::microseconds>(duration).count());
}

/// Shuts down both directions, which unblocks a thread that reads from the socket.
void shutDown(Poco::Net::StreamSocket &socket)
{
    try {
        socket.shutdown();
    } catch (const Poco::Exception &) {
        // The socket is already closed.
    }
}

} // namespace

StoreSessions::Lease::Lease(StoreSessions &sessions, Session session)
    : m_sessions(sessions)
    , m_session(std::move(session))
    , m_socket(m_session->stream())
{
    m_sessions.m_table.locked([&](Table &table) {
        if (table.m_isAborted) {
            throw Poco::IOException("store call aborted: the node is stopping");
        }
        table.m_inUse.push_back(m_socket);
    });
}

StoreSessions::Lease::~Lease()
{
    m_sessions.m_table.locked([&](Table &table) {
        table.m_inUse.remove(m_socket);
        if (!m_isReleased) {
            // The cause of the failure, such as a network fault, may affect every connection that was open then.
            std::erase_if(table.m_idle, [&](const IdleSession &entry) {
                return entry.m_since < m_begin;
            });
        }
    });
}

void StoreSessions::Lease::release()
{
    m_isReleased = true;
    if (!m_session->isReusable()) {
        return;
    }
    m_sessions.m_table.locked([&](Table &table) {
        if (!table.m_isAborted && table.m_idle.size() < MaxIdleSessions) {
            table.m_idle.push_back({std::move(m_session), std::chrono::steady_clock::now()});
        }
    });
}

StoreSessions::StoreSessions(std::string address)
    : m_address(std::move(address))
{
}

std::unique_ptr<StoreSessions::Lease> StoreSessions::acquire(Duration timeout)
{
    Session session = takeIdle();
    if (!session) {
        session = connect(timeout);
    }
    session->stream().setReceiveTimeout(toPoco(timeout));
    session->stream().setSendTimeout(toPoco(timeout));
    return std::make_unique<Lease>(*this, std::move(session));
}

StoreSessions::Session StoreSessions::takeIdle()
{
    const TimePoint oldest = std::chrono::steady_clock::now() - MaxIdleTime;
    std::vector<IdleSession> idle = m_table.locked([](Table &table) {
        return std::exchange(table.m_idle, {});
    });
    std::erase_if(idle, [&](const IdleSession &entry) {
        return entry.m_since < oldest || !entry.m_session->isReusable();
    });
    if (idle.empty()) {
        return nullptr;
    }
    Session session = std::move(idle.back().m_session);
    idle.pop_back();
    m_table.locked([&](Table &table) {
        std::move(idle.begin(), idle.end(), std::back_inserter(table.m_idle));
    });
    return session;
}

StoreSessions::Session StoreSessions::connect(Duration timeout) const
{
    Poco::Net::StreamSocket socket;
    socket.connect(Poco::Net::SocketAddress(m_address), toPoco(timeout));
    socket.setNoDelay(true);
    return std::make_unique<HttpClientConnection>(socket);
}

void StoreSessions::abort()
{
    const auto inUse = m_table.locked([](Table &table) {
        table.m_isAborted = true;
        return table.m_inUse;
    });
    for (Poco::Net::StreamSocket socket : inUse) {
        shutDown(socket);
    }
}

} // namespace fescuepond
