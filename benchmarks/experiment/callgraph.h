// The call graphs that the experiments run on: services with their slots, and kinds of root requests with their paths.

#pragma once

#include "core/values/declaration.h"

#include <compare>
#include <cstddef>
#include <string>
#include <vector>

namespace fescuepond::experiment
{

struct ServiceModel {
    std::string name;
    int targets = 3;
    int slots = 60; ///< Of each target.
    double ownSeconds = 0.02; ///< Mean own service time, exponential.

    friend auto operator<=>(const ServiceModel &, const ServiceModel &) = default;
};

/// A kind of root request. Its call of each service on the path holds a slot there until the calls below have ended.
struct KindModel {
    std::string name;
    Rank rank = 0;
    double keptShare = 0;
    std::vector<std::size_t> path; ///< Indexes of services; each once.
    double weight = 1; ///< Part in the demand.
    double deadlineSeconds = 2;

    friend auto operator<=>(const KindModel &, const KindModel &) = default;
};

struct CallGraph {
    std::string name;
    std::vector<ServiceModel> services;
    std::vector<KindModel> kinds; ///< The first one is the most urgent, the last one the least urgent.
    double hopSeconds = 0.001; ///< One way between two nodes.

    friend auto operator<=>(const CallGraph &, const CallGraph &) = default;
};

const std::vector<CallGraph> &callGraphs();
/// Null when there is none of that name.
const CallGraph *findCallGraph(const std::string &name);

} // namespace fescuepond::experiment
