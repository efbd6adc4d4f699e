// Classification: sets the service, kind, rank, deadline and retry allowance of a call from the declarations.

#include "servers/classification/classifier.h"

#include <fmt/format.h>

#include <algorithm>

namespace fescuepond
{

namespace
{

CallContext rootContext(const CallRequest &call, const KindDeclaration &kind)
{
    return call.context()
        .withRootId(RootId::random())
        .withRootKind(call.service() + "/" + kind.name())
        .withRank(kind.rank())
        .withKeptShare(kind.keptShare())
        .withRetryAllowance(kind.retryAllowance())
        .withDepth(0);
}

/// The earlier of two deadlines; that of the caller may be unset.
TimePoint earlierDeadline(TimePoint own, TimePoint callers)
{
    return callers == TimePoint() ? own : std::min(own, callers);
}

std::variant<CallRequest, CallOutcome>
classifyByRoute(const CallRequest &call, const Configuration &configuration, double fraction, TimePoint now)
{
    const RouteDeclaration *route = configuration.route(call.host(), call.path());
    if (route == nullptr) {
        return CallOutcome::notRun(Reason::UnknownRoute,
                                   fmt::format("no route of host '{}' has a prefix of the path", call.host()));
    }
    const CallRequest routed = call.withService(route->serviceFor(fraction));
    const KindDeclaration &kind = route->kind();
    const bool isRoot = call.context().rootId().isNone();
    // A route bounds the attempts of each of its requests; the retry budget bounds those of a whole call tree.
    const CallContext child = call.context().withRetryAllowance(kind.retryAllowance());
    const CallContext origin = isRoot ? rootContext(routed, kind) : child;
    return routed.withContext(origin.withCallId(CallId::random())
                                  .withKind(kind.name())
                                  .withIdempotent(kind.idempotent())
                                  .withDeadline(earlierDeadline(now + kind.deadline(), call.context().deadline()))
                                  .withLatencyObjective(now + route->latencyObjective()));
}

} // namespace

std::variant<CallRequest, CallOutcome>
classify(const CallRequest &call, const Configuration *configuration, double fraction, TimePoint now)
{
    if (configuration == nullptr) {
        return CallOutcome::notRun(Reason::NoConfiguration, "this node has no configuration yet");
    }
    if (call.service().empty()) {
        return classifyByRoute(call, *configuration, fraction, now);
    }
    const ServiceDeclaration *service = configuration->service(call.service());
    if (service == nullptr) {
        return CallOutcome::notRun(Reason::UnknownService, fmt::format("no service '{}' is declared", call.service()));
    }
    const KindDeclaration *kind = service->match(call.method(), call.path());
    if (kind == nullptr) {
        return CallOutcome::notRun(
            Reason::UnknownKind,
            fmt::format("service '{}' declares no kind for {} {}", call.service(), call.method(), call.path()));
    }
    const bool isRoot = call.context().rootId().isNone();
    const TimePoint ownDeadline = now + kind->deadline();
    CallContext context = isRoot ? rootContext(call, *kind) : call.context();
    context = context.withCallId(CallId::random())
                  .withKind(kind->name())
                  .withIdempotent(kind->idempotent())
                  .withDeadline(isRoot ? ownDeadline : std::min(ownDeadline, call.context().deadline()));
    return call.withContext(context);
}

} // namespace fescuepond
