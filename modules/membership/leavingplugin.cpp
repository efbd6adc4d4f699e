// First target stage: counts the calls that arrive here, and refuses them once this node has left.
//
// A node that leaves tells the others and goes on taking calls for a grace. A call that arrives after it is refused,
// truthfully as not run, so that the caller's node can give it to another target.

#include "core/kernel/kernel.h"
#include "core/pipeline/callpipeline.h"

#include <atomic>

namespace fescuepond
{

namespace
{

/// A planned stop ends no sooner than this after the last call came or ended: its answer has then left the node, and
/// no call is on its way here.
constexpr Duration QuietTime = std::chrono::milliseconds(500);

class LeavingPlugin final : public Plugin, public CallStage
{
public:
    Result<void> start(Kernel &kernel) override
    {
        m_kernel = &kernel;
        kernel.require<TargetPipeline>().add(TargetPlace::Observe, *this);
        return {};
    }

    void refuseNewWork() override
    {
        m_refusing = true;
    }

    std::size_t workInFlight() const override
    {
        const bool isQuiet = m_kernel->clock().now() - m_lastActivity.load() >= QuietTime;
        return m_inFlight + (isQuiet ? 0 : 1);
    }

    void handle(const CallRequest &call, const Next &next, Done done) override
    {
        noteActivity();
        m_kernel->metrics().count("fescuepond_target_calls_total");
        if (m_refusing) {
            m_kernel->metrics().count("fescuepond_target_calls_refused_leaving_total");
            done(CallOutcome::notRun(Reason::Leaving, "the target is leaving")
                     .withUnusedAllowance(call.context().retryAllowance()));
            return;
        }
        ++m_inFlight;
        next(call, [this, done = std::move(done)](const CallOutcome &outcome) {
            done(outcome);
            noteActivity();
            --m_inFlight;
        });
    }

private:
    void noteActivity()
    {
        m_lastActivity = m_kernel->clock().now();
    }

    Kernel *m_kernel = nullptr;
    std::atomic<std::size_t> m_inFlight = 0;
    std::atomic<bool> m_refusing = false;
    std::atomic<TimePoint> m_lastActivity = TimePoint();
};

const auto registration = registerPlugin<LeavingPlugin>("leaving", {"pipelines"});

} // namespace

} // namespace fescuepond
