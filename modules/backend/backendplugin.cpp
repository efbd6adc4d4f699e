// Last stage of the target pipeline: runs a call on the local backend server.

#include "core/kernel/eventlog.h"
#include "core/kernel/kernel.h"
#include "core/kernel/strategy.h"
#include "core/pipeline/callpipeline.h"
#include "core/pipeline/callsinflight.h"
#include "core/pipeline/interfaces.h"
#include "modules/backend/backendclient.h"

#include <array>
#include <atomic>
#include <memory>

namespace fescuepond
{

namespace
{

/// How often the node logs how many connections to the backend server were opened and closed, if any were opened.
constexpr Duration ConnectionLogInterval = std::chrono::seconds(10);

class BackendPlugin final : public Plugin, public CallStage
{
public:
    Result<void> start(Kernel &kernel) override
    {
        m_kernel = &kernel;
        m_calls = &kernel.require<CallsInFlight>();
        m_settlement = &kernel.require<AttemptSettlement>();
        m_status = &kernel.require<BackendStatus>();
        m_reports = &kernel.require<BackendReports>();
        BOOST_LEAF_ASSIGN(m_dialect, makeStrategy<BackendDialect>(kernel.settings().environment()));
        m_client = std::make_unique<BackendClient>(
            kernel.settings().backendAddress(), kernel.settings().maxBodyBytes(), *m_dialect, kernel.timers());
        registerGauges();
        m_settlement->setAbortHandler([this](const AttemptId &attempt) {
            m_client->abort(attempt);
        });
        kernel.require<TargetPipeline>().add(TargetStage::Run, *this);
        return {};
    }

    void handle(const CallRequest &call, const Next &, Done done) override
    {
        m_calls->add(call.context());
        m_kernel->pool().post(Lane::Backend, [this, call, done = std::move(done)] {
            const TimePoint begin = m_kernel->clock().now();
            const CallOutcome outcome = m_calls->remove(call.context().callId(), run(call));
            done(outcome);
            if (!isSuccess(outcome)) {
                log(call, outcome, m_kernel->clock().now() - begin);
            }
        });
    }

private:
    void registerGauges()
    {
        static constexpr std::array<const char *, ConnectionEventCount> Events = {
            "opened", "closed_after_failure", "closed_after_rejection", "closed_by_server", "closed_as_surplus"};
        for (std::size_t i = 0; i < ConnectionEventCount; ++i) {
            m_kernel->metrics().gauge("fescuepond_backend_connections", {{"event", Events.at(i)}}, [this, i] {
                return static_cast<double>(m_client->count(static_cast<ConnectionEvent>(i)));
            });
        }
        m_kernel->timers().every(ConnectionLogInterval, [this] {
            logConnections();
        });
    }

    void logConnections()
    {
        const std::uint64_t opened = m_client->count(ConnectionEvent::Opened);
        if (opened == m_loggedOpened.exchange(opened)) {
            return;
        }
        Event("backend_connections", EventSeverity::Routine)
            .with("opened", opened)
            .with("closed_after_failure", m_client->count(ConnectionEvent::ClosedAfterFailure))
            .with("closed_after_rejection", m_client->count(ConnectionEvent::ClosedAfterRejection))
            .with("closed_by_server", m_client->count(ConnectionEvent::ClosedByServer))
            .with("closed_as_surplus", m_client->count(ConnectionEvent::ClosedAsSurplus));
    }

    CallOutcome run(const CallRequest &call)
    {
        // Checked as late as possible: the call may have been cancelled while it waited for a worker.
        if (!m_settlement->canStart(call.context().attemptId())) {
            return CallOutcome::notRun(Reason::Cancelled, "the caller cancelled the call before it was started");
        }
        if (!m_status->canStart()) {
            return CallOutcome::notRun(Reason::Leaving, "the backend server is leaving");
        }
        const TimePoint begin = m_kernel->clock().now();
        const std::string instance = m_status->instance();
        CallOutcome outcome = m_client->run(call, instance);
        const bool hasAnswered = outcome.state() == CallState::Answered
            || (outcome.state() == CallState::NotRun && outcome.backendWasReached());
        if (hasAnswered) {
            m_reports->answered(instance, outcome.notice(), begin);
        }
        const Labels labels = {{"kind", call.context().kind()}, {"outcome", toString(outcome.state())}};
        m_kernel->metrics().observe("fescuepond_backend_seconds", labels, m_kernel->clock().now() - begin);
        return outcome;
    }

    void log(const CallRequest &call, const CallOutcome &outcome, Duration elapsed) const
    {
        using std::chrono::milliseconds;
        const CallContext &context = call.context();
        Event("backend_call_failed")
            .with("attempt", context.callerAttempt())
            .with("root", context.rootId().toString())
            .with("depth", context.depth())
            .with("kind", context.kind())
            .with("instance", m_status->instance())
            .with("state", toString(outcome.state()))
            .with("reason", toString(outcome.reason()))
            .with("status", outcome.status())
            .with("took_ms", std::chrono::duration_cast<milliseconds>(elapsed).count())
            .with("detail", outcome.detail());
    }

    Kernel *m_kernel = nullptr;
    CallsInFlight *m_calls = nullptr;
    AttemptSettlement *m_settlement = nullptr;
    BackendStatus *m_status = nullptr;
    BackendReports *m_reports = nullptr;
    std::unique_ptr<BackendDialect> m_dialect;
    std::unique_ptr<BackendClient> m_client;
    std::atomic<std::uint64_t> m_loggedOpened = 0;
};

const auto registration = registerPlugin<BackendPlugin>("backend", {"pipelines", "settlement", "registration"});

} // namespace

} // namespace fescuepond
