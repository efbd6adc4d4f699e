// Refuses calls while the processor of this node is the bottleneck, and reports to callers how much room it leaves.
//
// servers/processorload makes the decisions. A timer posts a task to the thread that receives calls; how late that task
// runs is what a call has to wait there. The entry stage refuses requests of clients, before anything is done for them;
// the target stage refuses calls from other nodes.

#include "core/kernel/eventlog.h"
#include "core/kernel/kernel.h"
#include "core/kernel/sharedtable.h"
#include "core/pipeline/interfaces.h"
#include "servers/admission/admissionentry.h"
#include "servers/processorload/loadshedder.h"

#include <algorithm>
#include <memory>
#include <optional>

namespace fescuepond
{

namespace
{

constexpr Duration ProbeInterval = std::chrono::milliseconds(50);

using SharedShedder = SharedTable<LoadShedder>;

/// Whether the node has room for the call; if not, calls `done` with the refusal.
bool admitOrRefuse(Kernel &kernel, SharedShedder &shedder, const char *stage, const CallRequest &call, const Done &done)
{
    const CallContext &context = call.context();
    const TimePoint now = kernel.clock().now();
    const ShedOrder order = makeEntry(0, context).order();
    const auto refusal = shedder.locked([&](LoadShedder &table) -> std::optional<CallOutcome> {
        if (table.admits(order.rank(), order.rootHash(), now)) {
            return std::nullopt;
        }
        return CallOutcome::notRun(Reason::Overload, "the node has no processor time for it")
            .withUnusedAllowance(context.retryAllowance())
            .withPathHeadroom(table.headroom())
            .withRetryAfter(table.retryAfter(now));
    });
    if (!refusal) {
        return true;
    }
    kernel.metrics().count("fescuepond_processor_refused_total", {{"stage", stage}, {"kind", context.rootKind()}});
    Event("processor_refused")
        .with("stage", stage)
        .with("attempt", context.callerAttempt())
        .with("root", context.rootId().toString())
        .with("kind", context.kind())
        .with("rank", context.rank());
    done(*refusal);
    return false;
}

class EntryShedding final : public CallStage
{
public:
    EntryShedding(Kernel &kernel, SharedShedder &shedder, const ParentResolver &parents)
        : m_kernel(kernel)
        , m_shedder(shedder)
        , m_parents(parents)
    {
    }
    void handle(const CallRequest &call, const Next &next, Done done) override
    {
        // Work has been done for the calls that the backend server makes.
        const bool isFromBackend = call.context().depth() > 0 || m_parents.isFromBackend(call.context().kind());
        if (isFromBackend || admitOrRefuse(m_kernel, m_shedder, "entry", call, done)) {
            next(call, std::move(done));
        }
    }

private:
    Kernel &m_kernel;
    SharedShedder &m_shedder;
    const ParentResolver &m_parents;
};

class TargetShedding final : public CallStage
{
public:
    TargetShedding(Kernel &kernel, SharedShedder &shedder)
        : m_kernel(kernel)
        , m_shedder(shedder)
    {
    }
    void handle(const CallRequest &call, const Next &next, Done done) override
    {
        if (admitOrRefuse(m_kernel, m_shedder, "target", call, done)) {
            next(call, [this, done = std::move(done)](const CallOutcome &outcome) {
                done(withProcessorHeadroom(outcome));
            });
        }
    }

private:
    /// Callers choose targets by their limit, so a node that is short of processor time reports a lower one.
    CallOutcome withProcessorHeadroom(const CallOutcome &outcome) const
    {
        const double headroom = m_shedder.locked([](const LoadShedder &table) {
            return table.headroom();
        });
        return headroom >= 1 ? outcome
                             : outcome.withTargetLimit(outcome.targetLimit() * headroom)
                                   .withPathHeadroom(minHeadroom(outcome.pathHeadroom(), headroom));
    }

    Kernel &m_kernel;
    SharedShedder &m_shedder;
};

class ProcessorLoadPlugin final : public Plugin
{
public:
    Result<void> start(Kernel &kernel) override
    {
        m_kernel = &kernel;
        m_receiver = &kernel.require<CallReceiver>();
        m_entryStage = std::make_unique<EntryShedding>(kernel, m_shedder, kernel.require<ParentResolver>());
        m_targetStage = std::make_unique<TargetShedding>(kernel, m_shedder);
        kernel.require<EntryPipeline>().add(EntryStage::ProcessorLoad, *m_entryStage);
        kernel.require<TargetPipeline>().add(TargetStage::ProcessorLoad, *m_targetStage);
        kernel.metrics().gauge("fescuepond_processor_headroom", {}, [this] {
            return m_shedder.locked([](const LoadShedder &table) {
                return table.headroom();
            });
        });
        scheduleProbe(kernel.clock().now() + ProbeInterval);
        return {};
    }

private:
    /// Probes don't wait for each other, so that their delays follow a growing backlog at once.
    void scheduleProbe(TimePoint due)
    {
        m_kernel->timers().once(due, [this, due] {
            m_receiver->post([this, due] {
                probed(due);
            });
            scheduleProbe(std::max(due, m_kernel->clock().now()) + ProbeInterval);
        });
    }

    void probed(TimePoint due)
    {
        const TimePoint now = m_kernel->clock().now();
        m_shedder.locked([&](LoadShedder &table) {
            table.taskRan(std::max(now - due, Duration::zero()), now);
        });
    }

    Kernel *m_kernel = nullptr;
    CallReceiver *m_receiver = nullptr;
    SharedShedder m_shedder{LockRank::ProcessorLoad};
    std::unique_ptr<EntryShedding> m_entryStage;
    std::unique_ptr<TargetShedding> m_targetStage;
};

const auto registration = registerPlugin<ProcessorLoadPlugin>("processorload", {"pipelines", "peer", "parentage"});

} // namespace

} // namespace fescuepond
