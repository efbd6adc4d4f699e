// Strategies that register themselves under the name of an environment; the setting `environment` selects them.
//
// Behaviour that depends on the environment in which a node is deployed is a small strategy object behind an interface.
// Each registers itself with a StrategyRegistration object at namespace scope in its own .cpp file.

#pragma once

#include "core/kernel/finding.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace fescuepond
{

namespace detail
{

template<typename Interface>
using StrategyFactory = std::function<std::unique_ptr<Interface>()>;

template<typename Interface>
std::map<std::string, StrategyFactory<Interface>> &strategies()
{
    static std::map<std::string, StrategyFactory<Interface>> table;
    return table;
}

} // namespace detail

template<typename Interface>
class StrategyRegistration
{
public:
    StrategyRegistration(std::string name, detail::StrategyFactory<Interface> factory)
    {
        detail::strategies<Interface>().emplace(std::move(name), std::move(factory));
    }
};

/// Creates the strategy for the environment `name`; an unknown name is a finding.
template<typename Interface>
Result<std::unique_ptr<Interface>> makeStrategy(const std::string &name)
{
    const auto &table = detail::strategies<Interface>();
    const auto found = table.find(name);
    if (found == table.end()) {
        std::string known;
        for (const auto &[other, factory] : table) {
            known += (known.empty() ? "" : ", ") + other;
        }
        return failure("unknown environment '" + name + "'; known environments are: " + known);
    }
    return found->second();
}

} // namespace fescuepond
