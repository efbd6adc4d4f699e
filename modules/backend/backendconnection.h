// One connection to the local backend server, with one exchange of call and outcome at a time.

#pragma once

#include "core/pipeline/backenddialect.h"
#include "core/values/call.h"
#include "modules/http/httpclientconnection.h"

#include <cstddef>
#include <string>
#include <vector>

namespace fescuepond
{

class BackendConnection final : public HttpClientConnection
{
public:
    using HttpClientConnection::HttpClientConnection;

    /// Sends the whole request with `headers`. Throws UnwritableHeader if the call can't be written as HTTP, and a
    /// Poco::Exception if it can't be sent.
    void send(const CallRequest &call, const Headers &headers);
    /// Waits for the complete response. Throws a Poco::Exception if it is truncated, isn't HTTP or has a body of more
    /// than `maxBodyBytes`. Complete responses to other requests are skipped, MaxStrayResponses at most.
    CallOutcome receive(const CallRequest &call,
                        const std::string &instance,
                        const BackendDialect &dialect,
                        std::size_t maxBodyBytes);

    /// Whether the response to `call` can be told from copies of earlier rejections that arrive late.
    bool canCarry(const CallRequest &call) const;
    /// Whether the latest response was a rejection.
    bool wasRejected() const
    {
        return m_wasRejected;
    }

private:
    /// Keeps the connection in use after a rejection if the rejection names `call`: a late copy of it is recognised.
    void rejected(const CallRequest &call, AnswerMatch match, Reason reason);

    /// Caller attempts that were rejected on this connection, MaxRejectedAttempts at most.
    std::vector<std::string> m_rejectedAttempts;
    bool m_wasRejected = false;
};

} // namespace fescuepond
