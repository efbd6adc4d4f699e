// Target stage that holds the calls at the local backend server to a limit.

#include "core/kernel/kernel.h"
#include "core/pipeline/callpipeline.h"

#include <atomic>

namespace fescuepond
{

namespace
{

class AdmissionPlugin final : public Plugin, public CallStage
{
public:
    Result<void> start(Kernel &kernel) override
    {
        m_limit = kernel.settings().backendSlots();
        kernel.require<TargetPipeline>().add(TargetPlace::Admission, *this);
        return {};
    }

    void handle(const CallRequest &call, const Next &next, Done done) override
    {
        if (++m_inFlight > m_limit) {
            --m_inFlight;
            done(CallOutcome::notRun(Reason::Overload, "the backend server has no free slot")
                     .withUnusedAllowance(call.context().retryAllowance()));
            return;
        }
        next(call, [this, done = std::move(done)](const CallOutcome &outcome) {
            --m_inFlight;
            done(outcome);
        });
    }

private:
    std::size_t m_limit = 0;
    std::atomic<std::size_t> m_inFlight = 0;
};

const auto registration = registerPlugin<AdmissionPlugin>("admission", {"pipelines"});

} // namespace

} // namespace fescuepond
