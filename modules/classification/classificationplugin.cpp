// Entry stage that classifies calls by the configuration in force.

#include "core/kernel/kernel.h"
#include "core/kernel/random.h"
#include "core/pipeline/interfaces.h"
#include "servers/classification/classifier.h"

namespace fescuepond
{

namespace
{

class ClassificationPlugin final : public Plugin, public CallStage
{
public:
    Result<void> start(Kernel &kernel) override
    {
        m_kernel = &kernel;
        m_source = &kernel.require<ConfigurationSource>();
        kernel.require<EntryPipeline>().add(EntryPlace::Classify, *this);
        return {};
    }

    void handle(const CallRequest &call, const Next &next, Done done) override
    {
        const auto configuration = m_source->configuration();
        const auto result = classify(call, configuration.get(), randomFraction(), m_kernel->clock().now());
        if (const auto *refusal = std::get_if<CallOutcome>(&result)) {
            m_kernel->metrics().count("fescuepond_unclassified_total", {{"reason", toString(refusal->reason())}});
            done(*refusal);
            return;
        }
        observe(std::get<CallRequest>(result), next, std::move(done));
    }

private:
    /// Passes the call on and records how long its kind took, by the way it ended.
    void observe(const CallRequest &call, const Next &next, Done done)
    {
        const TimePoint begin = m_kernel->clock().now();
        next(call,
             [this, begin, service = call.service(), kind = call.context().kind(), done = std::move(done)](
                 const CallOutcome &outcome) {
                 const Labels labels = {{"service", service}, {"kind", kind}, {"outcome", toString(outcome.state())}};
                 m_kernel->metrics().observe("fescuepond_call_seconds", labels, m_kernel->clock().now() - begin);
                 done(outcome);
             });
    }

    Kernel *m_kernel = nullptr;
    ConfigurationSource *m_source = nullptr;
};

const auto registration = registerPlugin<ClassificationPlugin>("classification", {"pipelines", "configuration"});

} // namespace

} // namespace fescuepond
