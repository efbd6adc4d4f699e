// The experiment's cases of overload and failure: each makes a scenario, a sequence of phases, for a call graph.

#pragma once

#include "benchmarks/experiment/phase.h"

#include <optional>
#include <string>
#include <vector>

namespace fescuepond::experiment
{

struct Scenario {
    std::vector<Phase> phases; ///< In order of time; the first one begins at 0 s.
    std::optional<double> triggerBegin; ///< Seconds. The trigger is a disturbance that ends, such as a flood.
    std::optional<double> triggerEnd; ///< Seconds; recovery is measured from here.
    double declaredSlots = 1; ///< Slots in the node's settings for each slot of its backend server.
    bool unequalTargets = false; ///< Service times of a service's targets differ: factors 0.5, 1 and 2.
};

struct Case {
    std::string name;
    std::string description;
    Scenario (*makeScenario)(const CallGraph &graph, double seconds);
};

const std::vector<Case> &cases();
/// Null if there is no case of this name.
const Case *findCase(const std::string &name);

} // namespace fescuepond::experiment
