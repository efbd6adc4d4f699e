// The order in which plug-ins start: dependencies first, whatever the order of registration.

#include "core/kernel/plugin.h"

#include <gtest/gtest.h>

namespace fescuepond
{

namespace
{

PluginDescription plugin(std::string name, std::vector<std::string> dependencies)
{
    return {std::move(name), std::move(dependencies), nullptr};
}

std::vector<std::string> namesOf(const std::vector<PluginDescription> &plugins)
{
    std::vector<std::string> names;
    names.reserve(plugins.size());
    for (const PluginDescription &description : plugins) {
        names.push_back(description.name);
    }
    return names;
}

/// The names in start order, or the findings as a single entry.
std::vector<std::string> order(const std::vector<PluginDescription> &plugins)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<std::vector<std::string>> {
            BOOST_LEAF_AUTO(ordered, orderByDependencies(plugins));
            return namesOf(ordered);
        },
        [](const Findings &findings) {
            return std::vector{toString(findings)};
        },
        [] {
            return std::vector<std::string>{"unexpected error"};
        });
}

} // namespace

TEST(PluginOrder, DependenciesStartFirstWhateverTheOrderOfRegistration)
{
    const std::vector<std::string> expected = {"a", "c", "b"};
    EXPECT_EQ(order({plugin("b", {"c"}), plugin("c", {"a"}), plugin("a", {})}), expected);
    EXPECT_EQ(order({plugin("a", {}), plugin("b", {"c"}), plugin("c", {"a"})}), expected);
}

TEST(PluginOrder, CycleAndUnknownDependencyAreFindings)
{
    const auto findings = order({plugin("a", {"b"}), plugin("b", {"a"}), plugin("c", {"nosuch"})});
    ASSERT_EQ(findings.size(), 1);
    for (const char *name : {"plug-in a", "plug-in b", "plug-in c"}) {
        EXPECT_NE(findings.front().find(name), std::string::npos) << findings.front();
    }
}

TEST(PluginOrder, RegisteredPluginsCanBeOrdered)
{
    EXPECT_GT(order(registeredPlugins()).size(), 10);
}

} // namespace fescuepond
