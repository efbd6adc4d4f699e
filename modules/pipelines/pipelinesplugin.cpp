// Provides the entry and target pipelines, to which other plug-ins add stages, and the table of calls in flight.

#include "core/kernel/kernel.h"
#include "core/pipeline/callpipeline.h"
#include "core/pipeline/callsinflight.h"

namespace fescuepond
{

namespace
{

class PipelinesPlugin final : public Plugin
{
public:
    Result<void> start(Kernel &kernel) override
    {
        kernel.provide(m_entry);
        kernel.provide(m_target);
        kernel.provide(m_calls);
        kernel.metrics().gauge("fescuepond_calls_in_flight", {}, [this] {
            return static_cast<double>(m_calls.size());
        });
        return {};
    }
    std::size_t workInFlight() const override
    {
        return m_calls.size();
    }

private:
    EntryPipeline m_entry;
    TargetPipeline m_target;
    CallsInFlight m_calls;
};

const auto registration = registerPlugin<PipelinesPlugin>("pipelines", {});

} // namespace

} // namespace fescuepond
