// What holds during one part of an experiment, and the ideal that the slots allow in it.

#pragma once

#include "benchmarks/experiment/callgraph.h"

#include <compare>
#include <string>
#include <vector>

namespace fescuepond::experiment
{

/// Conditions from `beginSeconds` until the next phase.
struct Phase {
    double beginSeconds = 0;
    std::vector<double> demand; ///< Root requests a second, by kind.
    std::vector<double> serviceTimeFactor; ///< Of own service time, by service.
    std::vector<double> aliveTargetFraction; ///< Part of the targets, by service.
    std::vector<bool> coldStart; ///< By service: its targets restart when the phase begins.
    int callerAttempts = 1; ///< Sendings of one request by its caller, each at once after a failure.

    friend auto operator<=>(const Phase &, const Phase &) = default;
};

/// Demand that fills the narrowest service, times `load`, in the proportions of the kinds' weights.
std::vector<double> demandAtLoad(const CallGraph &graph, double load);

/// Seconds for which a call of the kind holds a slot of the service at `level` of its path: its own time and that of
/// everything below, with the way there and back.
double slotHoldSeconds(const CallGraph &graph, const Phase &phase, const KindModel &kind, std::size_t level);

/// Root requests a second, by kind, when the slots go to declared shares first and then to the most important whole
/// requests. Kinds of one rank get the same part of their demand.
std::vector<double> idealRates(const CallGraph &graph, const Phase &phase);

} // namespace fescuepond::experiment
