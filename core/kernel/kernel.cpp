// The kernel: starts, drains and stops the plug-ins.

#include "core/kernel/kernel.h"

#include "core/kernel/eventlog.h"
#include "core/settings/stopplan.h"

#include <cstdlib>
#include <mutex>

namespace fescuepond
{

namespace
{

constexpr std::size_t DecisionThreads = 4;
constexpr std::size_t PlatformThreads = 8;
constexpr Duration DrainPollInterval = std::chrono::milliseconds(20);

WorkerPool::ThreadLimits threadLimits(const NodeSettings &settings)
{
    return {DecisionThreads, settings.httpThreads(), settings.backendThreads(), PlatformThreads};
}

} // namespace

Kernel::Kernel(NodeSettings settings, const Clock &clock)
    : m_settings(std::move(settings))
    , m_clock(clock)
    , m_pool(threadLimits(m_settings))
    , m_timers(clock, &m_pool)
{
    m_metrics.gauge("fescuepond_worker_threads", {}, [this] {
        return static_cast<double>(m_pool.threadCount());
    });
}

Kernel::~Kernel()
{
    stopAll();
}

Result<void> Kernel::start(const std::vector<PluginDescription> &plugins)
{
    BOOST_LEAF_AUTO(ordered, orderByDependencies(plugins));
    m_timers.start();
    for (const PluginDescription &description : ordered) {
        std::unique_ptr<Plugin> plugin = description.factory();
        Result<void> started = plugin->start(*this);
        if (!started) {
            Event("plugin_failed").with("plugin", description.name);
            stopAll();
            return started.error();
        }
        m_started.push_back({description.name, std::move(plugin)});
    }
    return {};
}

void Kernel::waitForStopRequest()
{
    std::unique_lock lock(m_mutex);
    m_wake.wait(lock, [this] {
        return m_stopRequested;
    });
}

void Kernel::requestStop()
{
    const std::lock_guard guard(m_mutex);
    m_stopRequested = true;
    m_wake.notify_all();
}

bool Kernel::isDraining() const
{
    const std::lock_guard guard(m_mutex);
    return m_draining;
}

bool Kernel::drainAndStop()
{
    {
        const std::lock_guard guard(m_mutex);
        m_draining = true;
    }
    const StopPlan plan = stopPlan(m_settings);
    m_cutOffTime = m_clock.now() + plan.leaveGrace + plan.drainTimeout;
    Event("drain_started").with("limit_ms", plan.drainTimeout.count());
    for (const StartedPlugin &started : m_started) {
        started.m_plugin->beginDrain();
    }
    sleepFor(plan.leaveGrace);
    Event("drain_refuses_new_work").with("grace_ms", plan.leaveGrace.count());
    for (const StartedPlugin &started : m_started) {
        started.m_plugin->rejectNewWork();
    }
    const bool drained = waitForWorkInFlight(plan.drainTimeout);
    stopAll();
    Event("node_stopped").with("drained", drained);
    return drained;
}

void Kernel::sleepFor(Duration time)
{
    std::unique_lock lock(m_mutex);
    m_wake.wait_for(lock, time, [] {
        return false;
    });
}

bool Kernel::waitForWorkInFlight(Duration timeout)
{
    const TimePoint limit = m_clock.now() + timeout;
    while (m_clock.now() < limit) {
        std::size_t inFlight = 0;
        for (const StartedPlugin &started : m_started) {
            inFlight += started.m_plugin->workInFlight();
        }
        if (inFlight == 0) {
            return true;
        }
        sleepFor(DrainPollInterval);
    }
    for (const StartedPlugin &started : m_started) {
        if (started.m_plugin->workInFlight() > 0) {
            Event("drain_cut_off").with("plugin", started.m_name).with("in_flight", started.m_plugin->workInFlight());
        }
    }
    return false;
}

void Kernel::stopAll()
{
    m_timers.stop();
    for (auto started = m_started.rbegin(); started != m_started.rend(); ++started) {
        started->m_plugin->stop();
    }
    m_pool.stop();
    while (!m_started.empty()) {
        m_started.pop_back();
    }
}

void *Kernel::lookUp(std::type_index type, const char *name) const
{
    const auto found = m_interfaces.find(type);
    if (found == m_interfaces.end()) {
        Event("interface_missing").with("interface", name);
        std::abort();
    }
    return found->second;
}

} // namespace fescuepond
