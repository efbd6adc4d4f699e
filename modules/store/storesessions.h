// Pool of keep-alive HTTP connections to the platform. abort() shuts down the connections in use when the node stops.

#pragma once

#include "core/kernel/clock.h"
#include "core/kernel/sharedtable.h"
#include "modules/http/httpclientconnection.h"

#include <list>
#include <memory>
#include <string>
#include <vector>

namespace fescuepond
{

class StoreSessions
{
public:
    using Session = std::unique_ptr<HttpClientConnection>;

    /// A session in use by one call. Unless release() was called, the call has failed: the destructor closes the
    /// session and those that have been idle since before the call.
    class Lease
    {
    public:
        Lease(StoreSessions &sessions, Session session);
        ~Lease();
        Lease(const Lease &) = delete;
        Lease &operator=(const Lease &) = delete;

        HttpClientConnection &session()
        {
            return *m_session;
        }
        /// Returns the session to the pool. To be called only after the response was read completely.
        void release();

    private:
        StoreSessions &m_sessions;
        Session m_session;
        const TimePoint m_begin = std::chrono::steady_clock::now();
        bool m_isReleased = false; ///< The response was read completely.
        Poco::Net::StreamSocket m_socket; ///< Shares the session's socket; abort() shuts it down from another thread.
    };

    explicit StoreSessions(std::string address);

    const std::string &address() const
    {
        return m_address;
    }

    /// Returns an idle session, or else a new one that connects within `timeout`. Throws Poco::Exception.
    std::unique_ptr<Lease> acquire(Duration timeout);
    /// Aborts the calls in flight; later calls fail at once.
    void abort();

private:
    struct IdleSession {
        Session m_session;
        TimePoint m_since;
    };
    struct Table {
        std::vector<IdleSession> m_idle; ///< The most recently used one is last.
        std::list<Poco::Net::StreamSocket> m_inUse; ///< One for each lease.
        bool m_isAborted = false;
    };

    Session takeIdle();
    Session connect(Duration timeout) const;

    const std::string m_address;
    SharedTable<Table> m_table{LockRank::Platform};
};

} // namespace fescuepond
