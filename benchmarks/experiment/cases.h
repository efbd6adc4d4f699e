// The cases of overload and failure, each a list of phases on a call graph.

#pragma once

#include "benchmarks/experiment/phase.h"

#include <optional>
#include <string>
#include <vector>

namespace fescuepond::experiment
{

struct Scenario {
    std::vector<Phase> phases; ///< In order of time; the first begins at 0.
    std::optional<double> triggerBegin; ///< Seconds.
    std::optional<double> triggerEnd; ///< Seconds; recovery is measured from here.
    double declaredSlots = 1; ///< The settings' slots for each slot that a backend server has.
    bool unequalTargets = false; ///< Targets of one service take 0.5, 1 and 2 times as long.
};

struct Case {
    std::string name;
    std::string description;
    Scenario (*makeScenario)(const CallGraph &graph, double seconds);
};

const std::vector<Case> &cases();
/// Null when there is none of that name.
const Case *findCase(const std::string &name);

} // namespace fescuepond::experiment
