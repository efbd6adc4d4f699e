// Entry stage that classifies calls by the configuration in force, and records how they completed.

#include "core/kernel/eventlog.h"
#include "core/kernel/kernel.h"
#include "core/kernel/random.h"
#include "core/pipeline/interfaces.h"
#include "servers/classification/classifier.h"

#include <functional>
#include <string>

namespace fescuepond
{

namespace
{

/// One in this many successes is logged, chosen by the caller's attempt id, so that a request is logged at all nodes or
/// at none.
constexpr std::uint64_t LoggedSuccessPeriod = 64;

/// Time for the outcome of a call to reach the caller before a planned stop cuts off what is in flight.
constexpr Duration AnswerReserve = std::chrono::milliseconds(200);

bool isLogged(const CallContext &context, const CallOutcome &outcome)
{
    return !isSuccess(outcome) || std::hash<std::string>()(context.callerAttempt()) % LoggedSuccessPeriod == 0;
}

class ClassificationPlugin final : public Plugin, public CallStage
{
public:
    Result<void> start(Kernel &kernel) override
    {
        m_kernel = &kernel;
        m_source = &kernel.require<ConfigurationSource>();
        kernel.require<EntryPipeline>().add(EntryStage::Classify, *this);
        return {};
    }

    void handle(const CallRequest &call, const Next &next, Done done) override
    {
        const auto configuration = m_source->configuration();
        const auto result = classify(call, configuration.get(), randomFraction(), m_kernel->clock().now());
        if (const auto *rejection = std::get_if<CallOutcome>(&result)) {
            m_kernel->metrics().count("fescuepond_unclassified_total", {{"reason", toString(rejection->reason())}});
            Event("request_unclassified")
                .with("attempt", call.context().callerAttempt())
                .with("host", call.host())
                .with("path", call.path())
                .with("configuration_version", configuration ? configuration->version() : 0)
                .with("reason", toString(rejection->reason()));
            done(*rejection);
            return;
        }
        observe(endingBeforeCutOff(std::get<CallRequest>(result)), next, std::move(done));
    }

private:
    /// Limits the deadline of a call that arrives during a planned stop: it is rejected as not run if the time left is
    /// too short for it, and otherwise has an outcome before this node cuts it off.
    CallRequest endingBeforeCutOff(const CallRequest &call) const
    {
        const TimePoint cutOff = m_kernel->cutOffTime();
        const bool isStopping = cutOff != TimePoint::max();
        const TimePoint latest = isStopping ? cutOff - AnswerReserve : cutOff;
        const CallContext &context = call.context();
        return context.deadline() <= latest ? call : call.withContext(context.withDeadline(latest));
    }

    /// Passes the call on and records its duration by kind and outcome.
    void observe(const CallRequest &call, const Next &next, Done done)
    {
        const TimePoint startedAt = m_kernel->clock().now();
        const auto version = m_source->configuration()->version();
        next(call, [this, startedAt, call, version, done = std::move(done)](const CallOutcome &outcome) {
            const Duration elapsed = m_kernel->clock().now() - startedAt;
            const Labels labels = {
                {"service", call.service()}, {"kind", call.context().kind()}, {"outcome", toString(outcome.state())}};
            m_kernel->metrics().observe("fescuepond_call_seconds", labels, elapsed);
            if (isLogged(call.context(), outcome)) {
                log(call, outcome, elapsed, version);
            }
            done(outcome);
        });
    }

    static void log(const CallRequest &call, const CallOutcome &outcome, Duration elapsed, ConfigurationVersion version)
    {
        using std::chrono::milliseconds;
        const CallContext &context = call.context();
        Event("request_ended", isSuccess(outcome) ? EventSeverity::Routine : EventSeverity::Failure)
            .with("attempt", context.callerAttempt())
            .with("root", context.rootId().toString())
            .with("depth", context.depth())
            .with("caller", context.callerService())
            .with("service", call.service())
            .with("kind", context.kind())
            .with("configuration_version", version)
            .with("state", toString(outcome.state()))
            .with("reason", toString(outcome.reason()))
            .with("status", outcome.status())
            .with("took_ms", std::chrono::duration_cast<milliseconds>(elapsed).count())
            .with("detail", outcome.detail());
    }

    Kernel *m_kernel = nullptr;
    ConfigurationSource *m_source = nullptr;
};

const auto registration = registerPlugin<ClassificationPlugin>("classification", {"pipelines", "configuration"});

} // namespace

} // namespace fescuepond
