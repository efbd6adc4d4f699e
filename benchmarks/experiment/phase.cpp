// Computes the ideal goodput: the fleet's slots, given to kept shares and then to root requests in order of rank.

#include "benchmarks/experiment/phase.h"

#include <algorithm>
#include <limits>
#include <set>

namespace fescuepond::experiment
{

namespace
{

std::vector<double> availableSlots(const CallGraph &graph, const Phase &phase)
{
    std::vector<double> slots;
    for (std::size_t service = 0; service < graph.services.size(); ++service) {
        const ServiceModel &model = graph.services[service];
        slots.push_back(phase.aliveTargetFraction[service] * model.targets * model.slots);
    }
    return slots;
}

/// The largest fraction, at most 1, of the wanted rates for which there are enough free slots.
double feasibleFraction(const CallGraph &graph,
                        const Phase &phase,
                        const std::vector<double> &freeSlots,
                        const std::vector<double> &wanted)
{
    std::vector<double> needed(graph.services.size(), 0.0);
    for (std::size_t kind = 0; kind < graph.kinds.size(); ++kind) {
        const KindModel &model = graph.kinds[kind];
        for (std::size_t level = 0; level < model.path.size(); ++level) {
            needed[model.path[level]] += wanted[kind] * slotHoldSeconds(graph, phase, model, level);
        }
    }
    double fraction = 1;
    for (std::size_t service = 0; service < needed.size(); ++service) {
        if (needed[service] > 0) {
            fraction = std::min(fraction, std::max(0.0, freeSlots[service]) / needed[service]);
        }
    }
    return fraction;
}

void allocateRates(const CallGraph &graph,
                   const Phase &phase,
                   const std::vector<double> &added,
                   std::vector<double> &rates,
                   std::vector<double> &freeSlots)
{
    for (std::size_t kind = 0; kind < graph.kinds.size(); ++kind) {
        const KindModel &model = graph.kinds[kind];
        rates[kind] += added[kind];
        for (std::size_t level = 0; level < model.path.size(); ++level) {
            freeSlots[model.path[level]] -= added[kind] * slotHoldSeconds(graph, phase, model, level);
        }
    }
}

/// Root requests per second that the kept share of the kind alone admits.
double keptShareRate(const CallGraph &graph, const Phase &phase, const KindModel &kind)
{
    const std::vector<double> slots = availableSlots(graph, phase);
    double rate = std::numeric_limits<double>::max();
    for (std::size_t level = 0; level < kind.path.size(); ++level) {
        rate = std::min(rate, kind.keptShare * slots[kind.path[level]] / slotHoldSeconds(graph, phase, kind, level));
    }
    return rate;
}

} // namespace

double slotHoldSeconds(const CallGraph &graph, const Phase &phase, const KindModel &kind, std::size_t level)
{
    double seconds = 0;
    for (std::size_t downstream = level; downstream < kind.path.size(); ++downstream) {
        const std::size_t service = kind.path[downstream];
        seconds += graph.services[service].ownSeconds * phase.serviceTimeFactor[service];
    }
    const auto hops = static_cast<double>(kind.path.size() - 1 - level);
    return seconds + 2 * graph.hopSeconds * hops;
}

std::vector<double> demandAtLoad(const CallGraph &graph, double load)
{
    Phase nominal;
    nominal.serviceTimeFactor.assign(graph.services.size(), 1.0);
    nominal.aliveTargetFraction.assign(graph.services.size(), 1.0);
    std::vector<double> demand;
    constexpr double SaturatingRate = 1e6;
    for (const KindModel &kind : graph.kinds) {
        demand.push_back(kind.weight * SaturatingRate);
    }
    const double fraction = feasibleFraction(graph, nominal, availableSlots(graph, nominal), demand);
    for (double &rate : demand) {
        rate *= fraction * load;
    }
    return demand;
}

std::vector<double> idealRates(const CallGraph &graph, const Phase &phase)
{
    std::vector<double> rates(graph.kinds.size(), 0.0);
    std::vector<double> freeSlots = availableSlots(graph, phase);
    std::vector<double> shares(graph.kinds.size(), 0.0);
    std::set<Rank> ranks;
    for (std::size_t kind = 0; kind < graph.kinds.size(); ++kind) {
        ranks.insert(graph.kinds[kind].rank);
        shares[kind] = std::min(phase.demand[kind], keptShareRate(graph, phase, graph.kinds[kind]));
    }
    allocateRates(graph, phase, shares, rates, freeSlots);
    for (const Rank rank : ranks) {
        std::vector<double> wanted(graph.kinds.size(), 0.0);
        for (std::size_t kind = 0; kind < graph.kinds.size(); ++kind) {
            wanted[kind] = graph.kinds[kind].rank == rank ? phase.demand[kind] - rates[kind] : 0.0;
        }
        const double fraction = feasibleFraction(graph, phase, freeSlots, wanted);
        std::vector<double> added = wanted;
        std::for_each(added.begin(), added.end(), [fraction](double &rate) {
            rate *= fraction;
        });
        allocateRates(graph, phase, added, rates, freeSlots);
        // A saturated service limits only the kinds that call it: the other kinds of the rank get more, one after
        // another.
        for (std::size_t kind = 0; kind < graph.kinds.size(); ++kind) {
            std::vector<double> rest(graph.kinds.size(), 0.0);
            rest[kind] = wanted[kind] - added[kind];
            rest[kind] *= feasibleFraction(graph, phase, freeSlots, rest);
            allocateRates(graph, phase, rest, rates, freeSlots);
        }
    }
    return rates;
}

} // namespace fescuepond::experiment
