// Last entry stage: chooses a target and sends the call to it.

#include "core/kernel/kernel.h"
#include "core/pipeline/interfaces.h"
#include "servers/routing/router.h"

#include <fmt/format.h>

namespace fescuepond
{

namespace
{

class RoutingPlugin final : public Plugin, public CallStage
{
public:
    Result<void> start(Kernel &kernel) override
    {
        m_membership = &kernel.require<Membership>();
        m_sender = &kernel.require<CallSender>();
        kernel.require<EntryPipeline>().add(EntryPlace::Route, *this);
        return {};
    }

    void handle(const CallRequest &call, const Next &, Done done) override
    {
        const auto targets = m_membership->targetsOf(call.service());
        const AttemptId attempt = AttemptId::random();
        const Member *target = chooseTarget(*targets, attempt.low());
        if (target == nullptr) {
            done(CallOutcome::notRun(Reason::NoTarget, fmt::format("service '{}' has no target", call.service()))
                     .withUnusedAllowance(call.context().retryAllowance()));
            return;
        }
        m_sender->send(*target, call.withContext(call.context().withAttemptId(attempt)), std::move(done));
    }

private:
    Membership *m_membership = nullptr;
    CallSender *m_sender = nullptr;
};

const auto registration = registerPlugin<RoutingPlugin>("routing", {"pipelines", "membership", "peer"});

} // namespace

} // namespace fescuepond
