// Last entry stage: chooses a target and sends the call to it; if it was not run there, retries it transparently at
// another target.
//
// A transparent retry uses nothing of the retry allowance: the call certainly was not run, so it adds no work. There
// are at most MaxTransparentRetries for each attempt, so a chain of calls sends at most MaxTransparentRetries + 1 times
// the attempts that its allowance permits, and runs no more than those.

#include "core/kernel/eventlog.h"
#include "core/kernel/kernel.h"
#include "core/kernel/sharedtable.h"
#include "core/pipeline/interfaces.h"
#include "servers/routing/router.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>

namespace fescuepond
{

namespace
{

/// The load of a target without calls is dropped after this time.
constexpr Duration LoadMaxAge = std::chrono::minutes(5);
constexpr Duration PruneInterval = std::chrono::minutes(1);

/// A call with the targets that it was sent to so far.
struct RoutedCall {
    CallRequest m_call;
    Done m_done;
    int m_transparentRetries = 0;
    std::set<Incarnation> m_triedTargets;
};

using RoutedCallPtr = std::shared_ptr<RoutedCall>;

class RoutingPlugin final : public Plugin, public CallStage
{
public:
    Result<void> start(Kernel &kernel) override
    {
        m_kernel = &kernel;
        m_membership = &kernel.require<Membership>();
        m_sender = &kernel.require<CallSender>();
        m_origin = RouteOrigin().withZone(kernel.settings().zone()).withRegion(kernel.settings().region());
        kernel.require<EntryPipeline>().add(EntryStage::Route, *this);
        kernel.timers().every(PruneInterval, [this] {
            prune();
        });
        return {};
    }

    void handle(const CallRequest &call, const Next &, Done done) override
    {
        route(std::make_shared<RoutedCall>(RoutedCall{call, std::move(done), 0, {}}));
    }

private:
    /// The targets of one service with their loads, so that a choice copies nothing.
    struct ServiceTargets {
        std::shared_ptr<const Members> m_members; ///< From which the candidates were made.
        RouteCandidates m_candidates;
        std::unordered_map<Incarnation, std::size_t> m_indexes; ///< In m_candidates.
    };
    struct Loads {
        /// By incarnation: a restarted target starts without failures. Outlasts changes of the members.
        std::unordered_map<Incarnation, TargetLoad> m_byTarget;
        std::map<std::string, ServiceTargets> m_services; ///< The candidates' loads are those in m_byTarget.
    };
    struct KnownNotice {
        BackendNotice m_notice;
        TimePoint m_receivedAt;
    };
    /// By the target's name, so that a notice outlasts a restart of the target's node.
    using Notices = std::unordered_map<std::string, KnownNotice>;

    void route(const RoutedCallPtr &routed)
    {
        const AttemptId attempt = AttemptId::random();
        const auto chosen = pickTarget(*routed, attempt.low());
        if (!chosen) {
            const std::string detail = fmt::format("service '{}' has no target", routed->m_call.service());
            routed->m_done(CallOutcome::notRun(Reason::NoTarget, detail)
                               .withUnusedAllowance(routed->m_call.context().retryAllowance()));
            return;
        }
        const Member &target = chosen->target();
        routed->m_triedTargets.insert(target.incarnation());
        const CallRequest call = routed->m_call.withContext(
            routed->m_call.context().withAttemptId(attempt).withKnownNotice(knownNotice(target)));
        m_sender->send(target, call, [this, routed, chosen = *chosen](const CallOutcome &outcome) {
            completed(routed, chosen.target(), outcome);
        });
    }

    /// Chooses an untried target for the call and counts the call as in flight there.
    std::optional<RouteCandidate> pickTarget(const RoutedCall &routed, std::uint64_t random)
    {
        const auto members = m_membership->targetsOf(routed.m_call.service());
        const TimePoint now = m_kernel->clock().now();
        return m_loads.locked([&](Loads &loads) -> std::optional<RouteCandidate> {
            const ServiceTargets &targets = targetsOf(loads, routed.m_call.service(), members);
            const bool isFirst = routed.m_triedTargets.empty() && routed.m_call.context().failedTarget().isNone();
            const RouteCandidates untried = isFirst ? RouteCandidates() : untriedOf(targets.m_candidates, routed);
            const RouteCandidate *chosen =
                chooseTarget(isFirst ? targets.m_candidates : untried, m_origin, now, random);
            if (chosen == nullptr) {
                return std::nullopt;
            }
            const RouteCandidate result = *chosen;
            setLoad(loads, result.target(), afterSend(result.load(), now));
            return result;
        });
    }

    /// The candidates of a service; made anew if its members have changed.
    static const ServiceTargets &
    targetsOf(Loads &loads, const std::string &service, const std::shared_ptr<const Members> &members)
    {
        ServiceTargets &targets = loads.m_services[service];
        if (targets.m_members == members) {
            return targets;
        }
        targets = ServiceTargets{members, {}, {}};
        for (const Member &member : *members) {
            const auto found = loads.m_byTarget.find(member.incarnation());
            const TargetLoad load = found == loads.m_byTarget.end() ? TargetLoad() : found->second;
            targets.m_indexes.emplace(member.incarnation(), targets.m_candidates.size());
            targets.m_candidates.push_back(RouteCandidate().withTarget(member).withLoad(load));
        }
        return targets;
    }

    static RouteCandidates untriedOf(RouteCandidates candidates, const RoutedCall &routed)
    {
        std::erase_if(candidates, [&](const RouteCandidate &candidate) {
            return routed.m_triedTargets.contains(candidate.target().incarnation());
        });
        return withoutFailedTarget(std::move(candidates), routed.m_call.context().failedTarget());
    }

    static void setLoad(Loads &loads, const Member &target, const TargetLoad &load)
    {
        loads.m_byTarget.insert_or_assign(target.incarnation(), load);
        const auto service = loads.m_services.find(target.service());
        if (service == loads.m_services.end()) {
            return;
        }
        ServiceTargets &targets = service->second;
        const auto index = targets.m_indexes.find(target.incarnation());
        if (index != targets.m_indexes.end()) {
            RouteCandidate &candidate = targets.m_candidates.at(index->second);
            candidate = std::move(candidate).withLoad(load);
        }
    }

    void completed(const RoutedCallPtr &routed, const Member &target, const CallOutcome &outcome)
    {
        const TimePoint now = m_kernel->clock().now();
        recordOutcome(target, outcome, now);
        recordNotice(target, outcome, now);
        if (outcome.state() != CallState::Answered) {
            log(*routed, target, outcome);
        }
        const bool canRetry =
            canRetryTransparently(outcome, routed->m_transparentRetries, routed->m_call.context().deadline(), now)
            && hasUntriedTarget(*routed);
        if (!canRetry) {
            routed->m_done(outcome.withTarget(target.incarnation()));
            return;
        }
        ++routed->m_transparentRetries;
        m_kernel->metrics().count("fescuepond_moves_total", {{"reason", toString(outcome.reason())}});
        route(routed);
    }

    static void log(const RoutedCall &routed, const Member &target, const CallOutcome &outcome)
    {
        Event("attempt_failed")
            .with("attempt", routed.m_call.context().callerAttempt())
            .with("root", routed.m_call.context().rootId().toString())
            .with("service", routed.m_call.service())
            .with("target", target.name())
            .with("target_state", toString(target.state()))
            .with("moves", routed.m_transparentRetries)
            .with("state", toString(outcome.state()))
            .with("reason", toString(outcome.reason()))
            .with("reached_backend", outcome.backendWasReached())
            .with("target_in_flight", outcome.targetInFlight())
            .with("target_limit", outcome.targetLimit())
            .with("detail", outcome.detail());
    }

    bool hasUntriedTarget(const RoutedCall &routed) const
    {
        const auto targets = m_membership->targetsOf(routed.m_call.service());
        return std::any_of(targets->begin(), targets->end(), [&](const Member &target) {
            return !routed.m_triedTargets.contains(target.incarnation());
        });
    }

    BackendNotice knownNotice(const Member &target) const
    {
        return m_notices.locked([&](const Notices &notices) {
            const auto found = notices.find(target.name());
            return found == notices.end() ? BackendNotice() : found->second.m_notice;
        });
    }

    /// Outcomes in which the target's node told nothing of its load are no sign that a notice has ended.
    void recordNotice(const Member &target, const CallOutcome &outcome, TimePoint now)
    {
        if (outcome.targetLimit() <= 0) {
            return;
        }
        m_notices.locked([&](Notices &notices) {
            if (outcome.notice().isEmpty()) {
                notices.erase(target.name());
            } else {
                notices.insert_or_assign(target.name(), KnownNotice{outcome.notice(), now});
            }
        });
    }

    void recordOutcome(const Member &target, const CallOutcome &outcome, TimePoint now)
    {
        const bool isNewlyEjected = m_loads.locked([&](Loads &loads) {
            const TargetLoad before = loads.m_byTarget[target.incarnation()];
            const TargetLoad after = afterOutcome(before, outcome, now);
            setLoad(loads, target, after);
            return after.ejections() > before.ejections();
        });
        if (isNewlyEjected) {
            m_kernel->metrics().count("fescuepond_ejections_total", {{"service", target.service()}});
            Event("target_ejected").with("target", target.name()).with("reason", toString(outcome.reason()));
        }
    }

    void prune()
    {
        const TimePoint now = m_kernel->clock().now();
        m_loads.locked([&](Loads &loads) {
            std::erase_if(loads.m_byTarget, [&](const auto &entry) {
                return entry.second.inFlight() == 0 && now - entry.second.lastUsedAt() > LoadMaxAge;
            });
            loads.m_services.clear();
        });
        m_notices.locked([&](Notices &notices) {
            std::erase_if(notices, [&](const auto &entry) {
                return now - entry.second.m_receivedAt > LoadMaxAge;
            });
        });
    }

    Kernel *m_kernel = nullptr;
    Membership *m_membership = nullptr;
    CallSender *m_sender = nullptr;
    RouteOrigin m_origin;
    SharedTable<Loads> m_loads{LockRank::Routing};
    SharedTable<Notices> m_notices{LockRank::Routing};
};

const auto registration = registerPlugin<RoutingPlugin>("routing", {"pipelines", "membership", "peer"});

} // namespace

} // namespace fescuepond
