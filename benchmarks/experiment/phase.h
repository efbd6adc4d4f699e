// A phase of an experiment: demand and state of the fleet for some time. Also the ideal goodput in a phase, which runs
// are compared with.

#pragma once

#include "benchmarks/experiment/callgraph.h"

#include <compare>
#include <string>
#include <vector>

namespace fescuepond::experiment
{

/// Conditions from `beginSeconds` until the next phase begins.
struct Phase {
    double beginSeconds = 0;
    std::vector<double> demand; ///< Root requests per second, by kind.
    std::vector<double> serviceTimeFactor; ///< Factor of the own service time, by service.
    std::vector<double> aliveTargetFraction; ///< Fraction of the targets that are alive, by service.
    std::vector<bool> coldStart; ///< By service: all its targets restart, cold, when the phase begins.
    int callerAttempts = 1; ///< Attempts of one request by its caller, without back-off.

    friend auto operator<=>(const Phase &, const Phase &) = default;
};

/// Demand by kind, in proportion to the kinds' weights, that needs `load` times the slots of the bottleneck service.
std::vector<double> demandAtLoad(const CallGraph &graph, double load);

/// Mean seconds for which a call of the kind holds a slot of the service at `level` of its path: the service times of
/// this service and of all services downstream, and the round trips between them.
double slotHoldSeconds(const CallGraph &graph, const Phase &phase, const KindModel &kind, std::size_t level);

/// Ideal goodput in root requests per second, by kind: slots go to the kept shares first, then to the other requests in
/// order of rank, and none is spent on a request that doesn't complete. Kinds of one rank get the same fraction of
/// their remaining demand, and then the slots that the other kinds of the rank cannot use.
std::vector<double> idealRates(const CallGraph &graph, const Phase &phase);

} // namespace fescuepond::experiment
