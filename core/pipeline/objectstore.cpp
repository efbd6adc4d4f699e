// The registered connector to the object store.

#include "core/pipeline/objectstore.h"

#include "core/kernel/invariant.h"

namespace fescuepond
{

namespace
{

StoreConnector &registeredConnector()
{
    static StoreConnector connector;
    return connector;
}

} // namespace

ExpectedRevision revisionIn(const StoreReply &reply)
{
    return reply.objects().empty() ? std::nullopt : ExpectedRevision(reply.objects().front().revision());
}

StoreConnectorRegistration::StoreConnectorRegistration(StoreConnector connector)
{
    invariant(!registeredConnector(), "only one connector to the object store is registered");
    registeredConnector() = std::move(connector);
}

std::unique_ptr<StoreConnection> connectStore(const std::string &address, Duration timeout)
{
    invariant(static_cast<bool>(registeredConnector()), "a connector to the object store is registered");
    return registeredConnector()(address, timeout);
}

} // namespace fescuepond
