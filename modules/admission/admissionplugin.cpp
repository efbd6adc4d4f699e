// Target stage that passes calls to the local backend server up to its concurrency limit, the most important first.
//
// servers/admission makes the decisions. The plug-in keeps the queued calls, a timer for their expiry, and the metrics.
// Every outcome reports the limit and the load of the target and the headroom of the path.

#include "core/kernel/eventlog.h"
#include "core/kernel/kernel.h"
#include "core/kernel/sharedtable.h"
#include "core/pipeline/interfaces.h"
#include "modules/admission/waitingcalls.h"
#include "servers/admission/admissioncontroller.h"

#include <algorithm>
#include <memory>
#include <optional>

namespace fescuepond
{

namespace
{

struct AdmissionTable {
    explicit AdmissionTable(double slots)
        : controller(std::make_unique<AdaptiveLimit>(slots), AdmissionRules())
    {
    }
    AdmissionController controller;
    WaitingCalls waiting;
};

/// The state of the target that is reported with each outcome.
struct LoadReport {
    double limit;
    int inFlight;
    double headroom;
};

LoadReport loadReportOf(const AdmissionController &controller, const AdmissionEntry &entry)
{
    return {
        controller.limit(), static_cast<int>(controller.running() + controller.queued()), controller.headroom(entry)};
}

/// A root request that is queued here holds no slot upstream, so its outcome reports only the headroom downstream.
CallOutcome withLoadReport(const CallOutcome &outcome, const LoadReport &load, int depth)
{
    const double below = outcome.pathHeadroom() > 0 ? outcome.pathHeadroom() : MaxHeadroom;
    const double headroom = depth == 0 ? below : std::min(below, load.headroom);
    return outcome.withTargetLimit(load.limit).withTargetInFlight(load.inFlight).withPathHeadroom(headroom);
}

const char *detailOf(Reason rejection)
{
    return rejection == Reason::DeadlineExceeded ? "less time is left than calls of this kind take"
                                                 : "the backend server is busy with more important calls";
}

/// Whether the backend server itself failed, rather than a call that it made.
bool isBackendFailure(const CallOutcome &outcome)
{
    return outcome.reason() == Reason::BackendLost || outcome.reason() == Reason::BackendUnreachable;
}

class AdmissionPlugin final : public Plugin, public CallStage
{
public:
    Result<void> start(Kernel &kernel) override
    {
        m_kernel = &kernel;
        m_table = std::make_unique<SharedTable<AdmissionTable>>(LockRank::Admission,
                                                                static_cast<double>(kernel.settings().backendSlots()));
        m_backend = &kernel.require<BackendStatus>();
        m_reports = &kernel.require<BackendReports>();
        kernel.require<TargetPipeline>().add(TargetStage::Admission, *this);
        addGauge("fescuepond_admission_limit", &AdmissionController::limit);
        addGauge("fescuepond_admission_running", &AdmissionController::running);
        addGauge("fescuepond_admission_queued", &AdmissionController::queued);
        return {};
    }
    std::size_t workInFlight() const override
    {
        return m_table->locked([](const AdmissionTable &table) {
            return table.controller.running() + table.controller.queued();
        });
    }

    void handle(const CallRequest &call, const Next &next, Done done) override
    {
        if (!call.context().knownNotice().isEmpty()) {
            m_reports->noticeReceived(call.context().knownNotice());
        }
        const TimePoint now = m_kernel->clock().now();
        const double slots = m_backend->slots();
        const double rate = m_backend->notice().rate();
        DecidedCalls decided = m_table->locked([&](AdmissionTable &table) {
            table.controller.setSlots(slots);
            table.controller.setRate(rate);
            const AdmissionEntry entry = table.waiting.add(call, next, std::move(done), now);
            return collect(table, table.controller.submit(entry, now));
        });
        apply(std::move(decided));
    }

private:
    template<typename Getter>
    void addGauge(const char *name, Getter (AdmissionController::*getter)() const)
    {
        m_kernel->metrics().gauge(name, {}, [this, getter] {
            return m_table->locked([getter](const AdmissionTable &table) {
                return static_cast<double>((table.controller.*getter)());
            });
        });
    }

    /// Removes the decided calls from the table and sets the timer for the next expiry.
    DecidedCalls collect(AdmissionTable &table, const AdmissionDecisions &decisions)
    {
        DecidedCalls decided = table.waiting.removeDecided(decisions);
        const auto due = table.controller.nextExpiry();
        if (table.waiting.needsTimer(due)) {
            m_kernel->timers().once(*due, [this] {
                expire();
            });
        }
        return decided;
    }

    void expire()
    {
        apply(m_table->locked([this](AdmissionTable &table) {
            table.waiting.timerFired();
            return collect(table, table.controller.expire(m_kernel->clock().now()));
        }));
    }

    void apply(DecidedCalls decided)
    {
        for (DecidedCall &call : decided) {
            if (call.rejection == Reason::None) {
                run(std::move(call.waiting));
            } else {
                reject(call);
            }
        }
    }

    void reject(const DecidedCall &decided)
    {
        const WaitingCall &waiting = decided.waiting;
        const CallContext &context = waiting.call.context();
        m_kernel->metrics().count("fescuepond_admission_refused_total",
                                  {{"kind", context.rootKind()}, {"reason", toString(decided.rejection)}});
        const auto [load, drainTime] = m_table->locked([&](const AdmissionTable &table) {
            return std::pair(loadReportOf(table.controller, waiting.entry), table.controller.drainTime());
        });
        using std::chrono::milliseconds;
        const Duration waited = m_kernel->clock().now() - waiting.submittedAt;
        Event("admission_refused")
            .with("attempt", context.callerAttempt())
            .with("root", context.rootId().toString())
            .with("depth", context.depth())
            .with("kind", context.kind())
            .with("rank", context.rank())
            .with("reason", toString(decided.rejection))
            .with("limit", load.limit)
            .with("here", load.inFlight)
            .with("waited_ms", std::chrono::duration_cast<milliseconds>(waited).count());
        const CallOutcome outcome = CallOutcome::notRun(decided.rejection, detailOf(decided.rejection))
                                        .withUnusedAllowance(context.retryAllowance())
                                        .withRetryAfter(std::min(drainTime, MaxRetryAfter));
        waiting.done(withLoadReport(outcome, load, context.depth()).withNotice(m_backend->notice()));
    }

    void run(WaitingCall waiting)
    {
        const TimePoint startedAt = m_kernel->clock().now();
        m_kernel->metrics().observe("fescuepond_admission_wait_seconds",
                                    {{"kind", waiting.call.context().rootKind()}},
                                    startedAt - waiting.submittedAt);
        waiting.next(waiting.call,
                     [this,
                      entry = std::move(waiting.entry),
                      depth = waiting.call.context().depth(),
                      done = std::move(waiting.done),
                      startedAt](const CallOutcome &outcome) {
                         done(finished(entry, depth, startedAt, outcome));
                     });
    }

    /// Releases the slot of a call that ran, and returns its outcome with the load of the target.
    CallOutcome finished(const AdmissionEntry &entry, int depth, TimePoint startedAt, const CallOutcome &outcome)
    {
        const TimePoint now = m_kernel->clock().now();
        const double rate = m_backend->notice().rate();
        const RunSample sample = RunSample().withServiceTime(now - startedAt).withIsFailed(isBackendFailure(outcome));
        std::optional<LoadReport> load;
        DecidedCalls decided = m_table->locked([&](AdmissionTable &table) {
            table.controller.setRate(rate);
            load = loadReportOf(table.controller, entry);
            return collect(table, table.controller.finished(entry.id(), sample, now));
        });
        apply(std::move(decided));
        return withLoadReport(outcome, *load, depth).withNotice(m_backend->notice());
    }

    Kernel *m_kernel = nullptr;
    BackendStatus *m_backend = nullptr;
    BackendReports *m_reports = nullptr;
    std::unique_ptr<SharedTable<AdmissionTable>> m_table;
};

const auto registration = registerPlugin<AdmissionPlugin>("admission", {"pipelines", "registration"});

} // namespace

} // namespace fescuepond
