// Infers the parent of a call that the backend server makes without naming the call it is made for.
//
// The deadline is the only evidence: a call has the same deadline as its parent, unless its own time limit is shorter.
// While many calls run, the deadlines of many clients' requests match one of them by chance. So only calls of kinds
// that clients don't send are matched; servers/parentinference finds out which kinds these are.

#include "core/kernel/kernel.h"
#include "core/kernel/sharedtable.h"
#include "core/kernel/strategy.h"
#include "core/pipeline/backenddialect.h"
#include "core/pipeline/callsinflight.h"
#include "core/pipeline/interfaces.h"
#include "servers/parentinference/backendcallkinds.h"

namespace fescuepond
{

namespace
{

class ParentInferencePlugin final : public Plugin, public ParentResolver
{
public:
    Result<void> start(Kernel &kernel) override
    {
        m_source = &kernel.require<ConfigurationSource>();
        BOOST_LEAF_AUTO(dialect, makeStrategy<BackendDialect>(kernel.settings().environment()));
        m_callsNameTheirParents = dialect->propagatesCallId();
        m_calls = &kernel.require<CallsInFlight>();
        kernel.provide<ParentResolver>(*this);
        return {};
    }

    std::optional<CallContext> parentOf(const CallRequest &call, TimePoint deadline) override
    {
        const auto configuration = m_source->configuration();
        const RouteDeclaration *route =
            configuration == nullptr ? nullptr : configuration->route(call.host(), call.path());
        if (route == nullptr || deadline == TimePoint()) {
            return std::nullopt;
        }
        const DeadlineMatch match = m_calls->findByDeadline(deadline);
        const bool isFromBackend = m_kinds.locked([&](BackendCallKinds &kinds) {
            kinds.observeArrival(route->kind().name(),
                                 {match.canBeChild, match.nearest.has_value(), match.coincidenceProbability});
            return kinds.isFromBackend(route->kind().name());
        });
        return isFromBackend ? match.nearest : std::nullopt;
    }

    bool isFromBackend(const std::string &kind) const override
    {
        return m_kinds.locked([&](const BackendCallKinds &kinds) {
            return kinds.isFromBackend(kind);
        });
    }

    bool isFromClients(const std::string &kind) const override
    {
        return m_callsNameTheirParents || m_kinds.locked([&](const BackendCallKinds &kinds) {
            return kinds.isFromClients(kind);
        });
    }

private:
    ConfigurationSource *m_source = nullptr;
    CallsInFlight *m_calls = nullptr;
    bool m_callsNameTheirParents = false; ///< Every call without a parent is a client's.
    SharedTable<BackendCallKinds> m_kinds{LockRank::ParentInference};
};

const auto registration = registerPlugin<ParentInferencePlugin>("parentage", {"pipelines", "configuration"});

} // namespace

} // namespace fescuepond
