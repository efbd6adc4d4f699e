// A response of which a part isn't sent yet.

#pragma once

#include "core/kernel/clock.h"
#include "modules/http/httpconnection.h"

#include <cstddef>

namespace fescuepond
{

class UnsentResponse
{
public:
    UnsentResponse(ResponseBytes bytes, bool keepAlive, TimePoint now);

    /// Sends what the operating system takes without waiting; returns whether all is sent. Throws a Poco::Exception if
    /// the connection has failed.
    bool sendAvailable(HttpConnection &connection, TimePoint now);
    /// Whether the connection stays open after the response.
    bool keepAlive() const
    {
        return m_keepAlive;
    }
    TimePoint since() const
    {
        return m_since;
    }
    /// When bytes were sent last.
    TimePoint lastProgress() const
    {
        return m_lastProgress;
    }
    std::size_t unsentBytes() const
    {
        return m_bytes.size() - m_sent;
    }

private:
    ResponseBytes m_bytes;
    bool m_keepAlive;
    TimePoint m_since;
    TimePoint m_lastProgress;
    std::size_t m_sent = 0; ///< Of m_bytes.
};

} // namespace fescuepond
