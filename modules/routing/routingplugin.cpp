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
#include <memory>
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
    /// By incarnation: a restarted target starts without failures.
    using Loads = std::unordered_map<Incarnation, TargetLoad>;
    struct KnownNotice {
        BackendNotice m_notice;
        TimePoint m_receivedAt;
    };
    /// By the target's name, so that a notice outlasts a restart of the target's node.
    using Notices = std::unordered_map<std::string, KnownNotice>;

    void route(const RoutedCallPtr &routed)
    {
        const AttemptId attempt = AttemptId::random();
        const auto target = pickTarget(*routed, attempt.low());
        if (!target) {
            const std::string detail = fmt::format("service '{}' has no target", routed->m_call.service());
            routed->m_done(CallOutcome::notRun(Reason::NoTarget, detail)
                               .withUnusedAllowance(routed->m_call.context().retryAllowance()));
            return;
        }
        routed->m_triedTargets.insert(target->incarnation());
        const CallRequest call = routed->m_call.withContext(
            routed->m_call.context().withAttemptId(attempt).withKnownNotice(knownNotice(*target)));
        m_sender->send(*target, call, [this, routed, target = *target](const CallOutcome &outcome) {
            completed(routed, target, outcome);
        });
    }

    /// Chooses an untried target for the call and counts the call as in flight there.
    std::optional<Member> pickTarget(const RoutedCall &routed, std::uint64_t random)
    {
        const auto targets = m_membership->targetsOf(routed.m_call.service());
        const TimePoint now = m_kernel->clock().now();
        return m_loads.locked([&](Loads &loads) {
            RouteCandidates candidates;
            for (const Member &target : *targets) {
                if (routed.m_triedTargets.contains(target.incarnation())) {
                    continue;
                }
                const auto found = loads.find(target.incarnation());
                const TargetLoad load = found == loads.end() ? TargetLoad() : found->second;
                candidates.push_back(RouteCandidate().withTarget(target).withLoad(load));
            }
            const Incarnation &failed = routed.m_call.context().failedTarget();
            auto chosen = chooseTarget(withoutFailedTarget(std::move(candidates), failed), m_origin, now, random);
            if (chosen) {
                TargetLoad &load = loads[chosen->incarnation()];
                load = afterSend(load, now);
            }
            return chosen;
        });
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
            TargetLoad &load = loads[target.incarnation()];
            const int before = load.ejections();
            load = afterOutcome(load, outcome, now);
            return load.ejections() > before;
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
            std::erase_if(loads, [&](const auto &entry) {
                return entry.second.inFlight() == 0 && now - entry.second.lastUsedAt() > LoadMaxAge;
            });
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
