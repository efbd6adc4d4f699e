// First target stage: counts incoming calls and rejects calls for another service, and all calls once this node has
// left.
//
// A leaving node announces that and accepts calls during a grace period. Later calls are rejected with the outcome
// not-run, so that the caller's node can send them to another target.

#include "core/kernel/eventlog.h"
#include "core/kernel/kernel.h"
#include "core/pipeline/interfaces.h"

#include <algorithm>
#include <atomic>

namespace fescuepond
{

namespace
{

/// A planned stop completes no sooner than this after the last call arrived or finished: its answer has then left the
/// node, and no further call is on its way here.
constexpr Duration QuietPeriod = std::chrono::milliseconds(500);

class LeavingPlugin final : public Plugin, public CallStage
{
public:
    Result<void> start(Kernel &kernel) override
    {
        m_kernel = &kernel;
        m_backend = &kernel.require<BackendStatus>();
        kernel.require<TargetPipeline>().add(TargetStage::Leaving, *this);
        return {};
    }

    void beginDrain() override
    {
        m_leftAt = m_kernel->clock().now();
    }

    void rejectNewWork() override
    {
        m_isRejecting = true;
    }

    std::size_t workInFlight() const override
    {
        const bool isQuiet = m_kernel->clock().now() - m_lastActivity.load() >= QuietPeriod;
        return m_inFlight + (isQuiet ? 0 : 1);
    }

    void stop() override
    {
        using std::chrono::milliseconds;
        const Duration lastCall = std::max(m_lastArrival.load() - m_leftAt.load(), Duration::zero());
        Event("target_left")
            .with("last_call_after_ms", std::chrono::duration_cast<milliseconds>(lastCall).count())
            .with("calls_after_leaving", m_arrivalsAfterLeaving.load())
            .with("refused", m_rejectedCount.load());
    }

    void handle(const CallRequest &call, const Next &next, Done done) override
    {
        // The address may have been reassigned to a VM of another service while a caller's node still has the old
        // record.
        if (call.service() != m_kernel->settings().service()) {
            done(CallOutcome::notRun(Reason::ConnectionLost,
                                     "misrouted call: this address belongs to another service now"));
            return;
        }
        recordArrival();
        if (m_isRejecting || !m_backend->acceptsCalls()) {
            ++m_rejectedCount;
            done(CallOutcome::notRun(Reason::Leaving, "the target is leaving")
                     .withUnusedAllowance(call.context().retryAllowance()));
            return;
        }
        ++m_inFlight;
        next(call, [this, done = std::move(done)](const CallOutcome &outcome) {
            done(outcome);
            recordActivity();
            --m_inFlight;
        });
    }

private:
    void recordArrival()
    {
        recordActivity();
        m_kernel->metrics().count("fescuepond_target_calls_total");
        m_lastArrival = m_kernel->clock().now();
        const bool isLeaving = m_leftAt.load() != TimePoint();
        m_arrivalsAfterLeaving += isLeaving ? 1 : 0;
    }

    void recordActivity()
    {
        m_lastActivity = m_kernel->clock().now();
    }

    Kernel *m_kernel = nullptr;
    BackendStatus *m_backend = nullptr;
    std::atomic<std::size_t> m_inFlight = 0;
    std::atomic<bool> m_isRejecting = false;
    std::atomic<TimePoint> m_lastActivity = TimePoint();
    std::atomic<TimePoint> m_lastArrival = TimePoint();
    std::atomic<TimePoint> m_leftAt = TimePoint(); ///< When the planned stop began; zero before.
    std::atomic<std::size_t> m_arrivalsAfterLeaving = 0; ///< Calls that arrived after the planned stop began.
    std::atomic<std::size_t> m_rejectedCount = 0;
};

const auto registration = registerPlugin<LeavingPlugin>("leaving", {"pipelines", "registration"});

} // namespace

} // namespace fescuepond
