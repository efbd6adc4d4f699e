// The call graphs of the experiment: services with their targets and slots, and kinds of root requests with their
// paths.

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
    double ownSeconds = 0.02; ///< Mean of the service time without downstream calls; exponentially distributed.

    friend auto operator<=>(const ServiceModel &, const ServiceModel &) = default;
};

/// A kind of root request. Its call of a service on the path holds a slot there until the calls downstream of it have
/// finished.
struct KindModel {
    std::string name;
    Rank rank = 0;
    double keptShare = 0;
    std::vector<std::size_t> path; ///< Indexes into CallGraph::services, from the entry service on; each at most once.
    double weight = 1; ///< Its demand is proportional to this.
    double deadlineSeconds = 2;

    friend auto operator<=>(const KindModel &, const KindModel &) = default;
};

struct CallGraph {
    std::string name;
    std::vector<ServiceModel> services;
    std::vector<KindModel> kinds; ///< From the most urgent to the least urgent.
    double hopSeconds = 0.001; ///< One-way latency between two nodes.

    friend auto operator<=>(const CallGraph &, const CallGraph &) = default;
};

const std::vector<CallGraph> &callGraphs();
/// Null if there is no call graph of this name.
const CallGraph *findCallGraph(const std::string &name);

} // namespace fescuepond::experiment
