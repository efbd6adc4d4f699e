// Plug-in registration and the start order.

#include "core/kernel/plugin.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace fescuepond
{

namespace
{

std::vector<PluginDescription> &registry()
{
    static std::vector<PluginDescription> plugins;
    return plugins;
}

bool isReady(const PluginDescription &plugin, const std::set<std::string> &placed)
{
    return std::all_of(plugin.dependencies.begin(), plugin.dependencies.end(), [&](const std::string &name) {
        return placed.contains(name);
    });
}

} // namespace

PluginRegistration::PluginRegistration(std::string name, std::vector<std::string> dependencies, PluginFactory factory)
{
    registry().push_back({std::move(name), std::move(dependencies), std::move(factory)});
}

const std::vector<PluginDescription> &registeredPlugins()
{
    return registry();
}

Result<std::vector<PluginDescription>> orderByDependencies(std::vector<PluginDescription> plugins)
{
    // Static objects of different files are initialised in no defined order; sorting by name makes the start order
    // deterministic.
    std::sort(plugins.begin(), plugins.end(), [](const PluginDescription &a, const PluginDescription &b) {
        return a.name < b.name;
    });
    std::vector<PluginDescription> ordered;
    std::set<std::string> placed;
    while (!plugins.empty()) {
        const auto next = std::find_if(plugins.begin(), plugins.end(), [&](const PluginDescription &plugin) {
            return isReady(plugin, placed);
        });
        if (next == plugins.end()) {
            Findings findings;
            for (const PluginDescription &plugin : plugins) {
                findings.emplace_back(
                    "plug-in " + plugin.name, 0, 0, "a dependency is unknown or depends on this plug-in");
            }
            return failure(std::move(findings));
        }
        placed.insert(next->name);
        ordered.push_back(std::move(*next));
        plugins.erase(next);
    }
    return ordered;
}

} // namespace fescuepond
