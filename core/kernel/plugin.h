// Plug-ins of the kernel and their registration.
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

    /// Starts the plug-in. Its dependencies have already started.
    virtual Result<void> start(Kernel &kernel) = 0;
    /// A planned stop begins: notify the other nodes. New work is still accepted until rejectNewWork().
    virtual void beginDrain()
    {
    }
    /// The grace period in which other nodes stop sending is over: reject new work, finish the work in flight.
    virtual void rejectNewWork()
    {
    }
    /// The number of work items in flight; a planned stop waits until it is 0.
    virtual std::size_t workInFlight() const
    {
        return 0;
    }
    /// Releases all resources. Other plug-ins may still call this one until the worker pool has stopped.
    virtual void stop()
    {
    }
};

using PluginFactory = std::function<std::unique_ptr<Plugin>()>;

/// Describes a plug-in before it is created.
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

/// Registers a plug-in whose class has a default constructor.
template<typename PluginClass>
PluginRegistration registerPlugin(std::string name, std::vector<std::string> dependencies)
{
    return PluginRegistration(std::move(name), std::move(dependencies), [] {
        return std::make_unique<PluginClass>();
    });
}

/// All registered plug-ins, in the order of registration.
const std::vector<PluginDescription> &registeredPlugins();

/// Sorts `plugins` so that each comes after its dependencies; a cycle or an unknown dependency is a finding.
Result<std::vector<PluginDescription>> orderByDependencies(std::vector<PluginDescription> plugins);

} // namespace fescuepond
