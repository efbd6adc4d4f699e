// The kernel of a node: the services that all plug-ins share, and the life cycle of the plug-ins.
//
// The kernel holds the settings, clock, timer service, worker pool and metrics. Plug-ins depend on each other only
// through interfaces: one plug-in provides an interface, others require it.

#pragma once

#include "core/kernel/clock.h"
#include "core/kernel/metricsregistry.h"
#include "core/kernel/plugin.h"
#include "core/kernel/timerservice.h"
#include "core/kernel/workerpool.h"
#include "core/settings/nodesettings.h"

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <string>
#include <typeindex>
#include <vector>

namespace fescuepond
{

class Kernel
{
public:
    Kernel(NodeSettings settings, const Clock &clock);
    ~Kernel();

    const NodeSettings &settings() const
    {
        return m_settings;
    }
    const Clock &clock() const
    {
        return m_clock;
    }
    TimerService &timers()
    {
        return m_timers;
    }
    WorkerPool &pool()
    {
        return m_pool;
    }
    MetricsRegistry &metrics()
    {
        return m_metrics;
    }

    /// Registers `implementation` as the only provider of an interface. It lives as long as its plug-in.
    template<typename Interface>
    void provide(Interface &implementation)
    {
        m_interfaces[std::type_index(typeid(Interface))] = &implementation;
    }

    /// The provider of an interface, which must be a declared dependency of the caller; aborts if there is none.
    template<typename Interface>
    Interface &require() const
    {
        return *static_cast<Interface *>(lookUp(std::type_index(typeid(Interface)), typeid(Interface).name()));
    }

    /// Starts `plugins` in the order of their dependencies. If one fails, those already started are stopped.
    Result<void> start(const std::vector<PluginDescription> &plugins);
    /// Blocks until requestStop() is called.
    void waitForStopRequest();
    void requestStop();
    /// Whether drainAndStop() has been called.
    bool isDraining() const;
    /// When a planned stop cuts off the work that is still in flight; TimePoint::max() before it is requested.
    TimePoint cutOffTime() const
    {
        return m_cutOffTime;
    }
    /// A planned stop: notifies the other nodes, accepts calls that still arrive for the grace period of the settings,
    /// then rejects new work, waits for the work in flight for at most the drain timeout of the settings, and stops all
    /// plug-ins. Returns false if work was still in flight when the timeout expired.
    bool drainAndStop();

private:
    struct StartedPlugin {
        std::string m_name;
        std::unique_ptr<Plugin> m_plugin;
    };

    void *lookUp(std::type_index type, const char *name) const;
    bool waitForWorkInFlight(Duration timeout);
    /// Sleeps for `time`; it is not interrupted by requestStop().
    void sleepFor(Duration time);
    void stopAll();

    const NodeSettings m_settings;
    const Clock &m_clock;
    MetricsRegistry m_metrics;
    WorkerPool m_pool;
    TimerService m_timers;
    std::map<std::type_index, void *> m_interfaces; ///< Modified only while plug-ins start.
    std::vector<StartedPlugin> m_started; ///< In start order.

    mutable RankedMutex m_mutex{LockRank::Plugins};
    std::condition_variable_any m_wake;
    bool m_stopRequested = false;
    bool m_draining = false;
    std::atomic<TimePoint> m_cutOffTime = TimePoint::max();
};

} // namespace fescuepond
