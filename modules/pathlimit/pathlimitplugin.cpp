// Entry stage that admits root requests only as far as the services on their path can run them.
//
// servers/pathlimit makes the decisions. Calls that a backend server makes pass through: their root request was
// admitted before.

#include "core/kernel/eventlog.h"
#include "core/kernel/kernel.h"
#include "core/kernel/sharedtable.h"
#include "core/pipeline/callpipeline.h"
#include "core/pipeline/interfaces.h"
#include "modules/admission/waitingcalls.h"
#include "servers/pathlimit/pathlimiter.h"

#include <fmt/format.h>

#include <memory>
#include <optional>

namespace fescuepond
{

namespace
{

struct PathTable {
    PathLimiter limiter{PathRules()};
    WaitingCalls waiting;
};

PathKey pathOf(const CallRequest &call)
{
    return PathKey().withService(call.service()).withKind(call.context().kind());
}

const char *detailOf(Reason rejection)
{
    return rejection == Reason::DeadlineExceeded ? "less time is left than calls of this kind take"
                                                 : "the services downstream have no capacity for it";
}

class PathLimitPlugin final : public Plugin, public CallStage
{
public:
    Result<void> start(Kernel &kernel) override
    {
        m_kernel = &kernel;
        m_parents = &kernel.require<ParentResolver>();
        kernel.require<EntryPipeline>().add(EntryStage::PathLimit, *this);
        kernel.metrics().gauge("fescuepond_path_queued", {}, [this] {
            return m_table.locked([](const PathTable &table) {
                return static_cast<double>(table.limiter.queued());
            });
        });
        return {};
    }
    std::size_t workInFlight() const override
    {
        return m_table.locked([](const PathTable &table) {
            return table.limiter.queued() + table.limiter.inFlight();
        });
    }

    void handle(const CallRequest &call, const Next &next, Done done) override
    {
        if (call.context().depth() > 0) {
            next(call, std::move(done));
            return;
        }
        const TimePoint now = m_kernel->clock().now();
        // A call of the backend server whose parent is unknown isn't refused at random: that wastes what was done for
        // its root request, and a request with several such calls would hardly ever succeed.
        const ShareLimit shareLimit =
            m_parents->isFromClients(call.context().kind()) ? ShareLimit::Applies : ShareLimit::None;
        DecidedCalls decided = m_table.locked([&](PathTable &table) {
            const AdmissionEntry entry = table.waiting.add(call, next, std::move(done), now);
            return collect(table, table.limiter.submit(pathOf(call), entry, shareLimit, now));
        });
        apply(std::move(decided));
    }

private:
    /// Removes the decided calls from the table and sets the timer for the next expiry.
    DecidedCalls collect(PathTable &table, const AdmissionDecisions &decisions)
    {
        DecidedCalls decided = table.waiting.removeDecided(decisions);
        const auto due = table.limiter.nextExpiry();
        if (table.waiting.needsTimer(due)) {
            m_kernel->timers().once(*due, [this] {
                expire();
            });
        }
        return decided;
    }

    void expire()
    {
        apply(m_table.locked([this](PathTable &table) {
            table.waiting.timerFired();
            return collect(table, table.limiter.expire(m_kernel->clock().now()));
        }));
    }

    void apply(DecidedCalls decided)
    {
        for (DecidedCall &call : decided) {
            if (call.rejection == Reason::None) {
                admit(std::move(call.waiting));
            } else {
                reject(call);
            }
        }
    }

    void reject(const DecidedCall &decided)
    {
        const CallContext &context = decided.waiting.call.context();
        m_kernel->metrics().count("fescuepond_path_refused_total",
                                  {{"kind", context.rootKind()}, {"reason", toString(decided.rejection)}});
        const TimePoint now = m_kernel->clock().now();
        const auto [window, retryAfter] = m_table.locked([&](const PathTable &table) {
            const PathKey path = pathOf(decided.waiting.call);
            return std::pair(table.limiter.windowOf(path), table.limiter.retryAfter(path, now));
        });
        Event("path_refused")
            .with("attempt", context.callerAttempt())
            .with("root", context.rootId().toString())
            .with("kind", context.kind())
            .with("rank", context.rank())
            .with("reason", toString(decided.rejection))
            .with("window", fmt::format("{:.1f}", window));
        decided.waiting.done(CallOutcome::notRun(decided.rejection, detailOf(decided.rejection))
                                 .withUnusedAllowance(context.retryAllowance())
                                 .withRetryAfter(std::min(retryAfter, MaxRetryAfter)));
    }

    void admit(WaitingCall waiting)
    {
        const TimePoint startedAt = m_kernel->clock().now();
        waiting.next(
            waiting.call,
            [this, path = pathOf(waiting.call), id = waiting.entry.id(), done = std::move(waiting.done), startedAt](
                const CallOutcome &outcome) {
                finished(path, id, startedAt, outcome);
                done(outcome);
            });
    }

    /// Adjusts the limit of the path to the outcome, and admits waiting calls.
    void finished(const PathKey &path, EntryId id, TimePoint startedAt, const CallOutcome &outcome)
    {
        const TimePoint now = m_kernel->clock().now();
        const auto serviceTime = outcome.state() == CallState::Answered ? std::optional(now - startedAt) : std::nullopt;
        DecidedCalls decided = m_table.locked([&](PathTable &table) {
            return collect(table, table.limiter.finished(path, id, outcome.pathHeadroom(), serviceTime, now));
        });
        apply(std::move(decided));
    }

    Kernel *m_kernel = nullptr;
    const ParentResolver *m_parents = nullptr;
    SharedTable<PathTable> m_table{LockRank::PathLimit};
};

const auto registration = registerPlugin<PathLimitPlugin>("pathlimit", {"pipelines", "parentage"});

} // namespace

} // namespace fescuepond
