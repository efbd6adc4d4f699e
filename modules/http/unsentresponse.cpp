// A response of which a part isn't sent yet.

#include "modules/http/unsentresponse.h"

#include <utility>

namespace fescuepond
{

UnsentResponse::UnsentResponse(ResponseBytes bytes, bool keepAlive, TimePoint now)
    : m_bytes(std::move(bytes))
    , m_keepAlive(keepAlive)
    , m_since(now)
    , m_lastProgress(now)
{
}

bool UnsentResponse::sendAvailable(HttpConnection &connection, TimePoint now)
{
    while (unsentBytes() > 0) {
        const std::size_t count = connection.sendAvailable(m_bytes.from(m_sent));
        if (count == 0) {
            return false;
        }
        m_sent += count;
        m_lastProgress = now;
    }
    return true;
}

} // namespace fescuepond
