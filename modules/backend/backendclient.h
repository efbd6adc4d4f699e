// HTTP client of the local backend server.
//
// Connections are kept for reuse. One on which a call was abandoned or went wrong is closed, so that a late answer can
// never be taken for the answer to another call.

#pragma once

#include "core/kernel/sharedtable.h"
#include "core/values/call.h"

#include <Poco/Net/HTTPClientSession.h>

#include <memory>
#include <string>
#include <vector>

namespace fescuepond
{

class BackendClient
{
public:
    explicit BackendClient(std::string address);

    /// Sends `call` and waits for the whole answer, until the call's deadline.
    CallOutcome run(const CallRequest &call, TimePoint now);

private:
    using Session = std::unique_ptr<Poco::Net::HTTPClientSession>;

    Session takeSession();
    void keepSession(Session session);

    const std::string m_address;
    /// Sessions that are open, with no request on them.
    SharedTable<std::vector<Session>> m_idle{LockRank::BackendConnections};
};

} // namespace fescuepond
