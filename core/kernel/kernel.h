// The kernel of a node: what all plug-ins share, and their life cycle.
//
// The kernel holds the settings, clock, timer service, worker pool and metrics. Plug-ins meet each other only through
// interfaces: one provides it, others require it.

#pragma once

#include "core/kernel/clock.h"
#include "core/kernel/metricsregistry.h"
#include "core/kernel/plugin.h"
#include "core/kernel/timerservice.h"
#include "core/kernel/workerpool.h"
#include "core/settings/nodesettings.h"

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

    /// Makes `implementation` the one provider of an interface. It lives as long as its plug-in.
    template<typename Interface>
    void provide(Interface &implementation)
    {
        m_interfaces[std::type_index(typeid(Interface))] = &implementation;
    }

    /// The provider of an interface. It must come from a declared dependency.
    template<typename Interface>
    Interface &require() const
    {
        return *static_cast<Interface *>(lookUp(std::type_index(typeid(Interface)), typeid(Interface).name()));
    }

    /// Starts `plugins` in the order of their dependencies. After a failure those started are stopped again.
    Result<void> start(const std::vector<PluginDescription> &plugins);
    /// Waits until requestStop() was called.
    void waitForStopRequest();
    void requestStop();
    /// Whether a planned stop has begun.
    bool isDraining() const;
    /// A planned stop: tells the others, takes what still arrives for the settings' grace, then refuses new work, waits
    /// for the work in flight for at most the settings' drain time, and stops all plug-ins. Returns false when work was
    /// still in flight at that time.
    bool drainAndStop();

private:
    struct StartedPlugin {
        std::string m_name;
        std::unique_ptr<Plugin> m_plugin;
    };

    void *lookUp(std::type_index type, const char *name) const;
    bool waitForWorkInFlight(Duration timeout);
    /// Sleeps for `time`; nothing ends it early.
    void pause(Duration time);
    void stopAll();

    const NodeSettings m_settings;
    const Clock &m_clock;
    MetricsRegistry m_metrics;
    WorkerPool m_pool;
    TimerService m_timers;
    std::map<std::type_index, void *> m_interfaces; ///< Written only while plug-ins start.
    std::vector<StartedPlugin> m_started; ///< In the order of starting.

    mutable RankedMutex m_mutex{LockRank::Plugins};
    std::condition_variable_any m_wake;
    bool m_stopRequested = false;
    bool m_draining = false;
};

} // namespace fescuepond
