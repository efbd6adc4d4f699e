// Plug-ins of the kernel and how they register themselves.
//
// A plug-in registers itself with a PluginRegistration object at namespace scope in its own .cpp file. The kernel
// starts the plug-ins in the order of their declared dependencies and stops them in reverse.

#pragma once

#include "core/kernel/finding.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace fescuepond
{

class Kernel;

class Plugin
{
public:
    virtual ~Plugin() = default;

    /// Takes up work. The plug-ins named as dependencies have started.
    virtual Result<void> start(Kernel &kernel) = 0;
    /// A planned stop begins: tell the others. New work that still arrives is taken until rejectNewWork().
    virtual void beginDrain()
    {
    }
    /// The others have had time to turn away: refuse new work, go on with the work in flight.
    virtual void rejectNewWork()
    {
    }
    /// How much work is still in flight; a planned stop waits until it is none.
    virtual std::size_t workInFlight() const
    {
        return 0;
    }
    /// Releases everything. No other plug-in calls this one any more once the pool has stopped.
    virtual void stop()
    {
    }
};

using PluginFactory = std::function<std::unique_ptr<Plugin>()>;

/// What is known of a plug-in before it is made.
struct PluginDescription {
    std::string name;
    std::vector<std::string> dependencies;
    PluginFactory factory;
};

class PluginRegistration
{
public:
    PluginRegistration(std::string name, std::vector<std::string> dependencies, PluginFactory factory);
};

/// Registers a plug-in whose class can be made without arguments.
template<typename PluginClass>
PluginRegistration registerPlugin(std::string name, std::vector<std::string> dependencies)
{
    return PluginRegistration(std::move(name), std::move(dependencies), [] {
        return std::make_unique<PluginClass>();
    });
}

/// Everything registered, in the order of registration.
const std::vector<PluginDescription> &registeredPlugins();

/// Orders `plugins` so that each comes after its dependencies; a cycle or an unknown dependency is a finding.
Result<std::vector<PluginDescription>> orderByDependencies(std::vector<PluginDescription> plugins);

} // namespace fescuepond
