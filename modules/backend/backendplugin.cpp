// Last target stage: runs a call on the local backend server.

#include "core/kernel/kernel.h"
#include "core/pipeline/callpipeline.h"
#include "core/pipeline/callsinflight.h"
#include "modules/backend/backendclient.h"

#include <memory>

namespace fescuepond
{

namespace
{

class BackendPlugin final : public Plugin, public CallStage
{
public:
    Result<void> start(Kernel &kernel) override
    {
        m_kernel = &kernel;
        m_calls = &kernel.require<CallsInFlight>();
        m_client = std::make_unique<BackendClient>(kernel.settings().backendAddress());
        kernel.require<TargetPipeline>().add(TargetPlace::Run, *this);
        return {};
    }

    void handle(const CallRequest &call, const Next &, Done done) override
    {
        m_calls->add(call.context());
        m_kernel->pool().post(Lane::Backend, [this, call, done = std::move(done)] {
            const TimePoint begin = m_kernel->clock().now();
            const CallOutcome outcome = m_client->run(call, begin);
            const Labels labels = {{"kind", call.context().kind()}, {"outcome", toString(outcome.state())}};
            m_kernel->metrics().observe("fescuepond_backend_seconds", labels, m_kernel->clock().now() - begin);
            const double room = m_calls->roomBelow(call.context().callId());
            const int unused = m_calls->remove(call.context().callId());
            done(outcome.withPathLimit(room).withUnusedAllowance(unused));
        });
    }

private:
    Kernel *m_kernel = nullptr;
    CallsInFlight *m_calls = nullptr;
    std::unique_ptr<BackendClient> m_client;
};

const auto registration = registerPlugin<BackendPlugin>("backend", {"pipelines"});

} // namespace

} // namespace fescuepond
