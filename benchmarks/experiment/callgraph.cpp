// The table of call graphs.

#include "benchmarks/experiment/callgraph.h"

#include <algorithm>

namespace fescuepond::experiment
{

namespace
{

CallGraph chainGraph()
{
    return {"chain",
            {{"a", 3, 40, 0.020}, {"b", 3, 20, 0.040}, {"c", 2, 20, 0.050}},
            {{"urgent", 0, 0.0, {0, 1, 2}, 0.3}, {"bulk", 2, 0.0, {0, 1, 2}, 0.7}, {"entry-only", 5, 0.0, {0}, 0.6}}};
}

CallGraph tuulGraph()
{
    return {"tuul",
            {{"dispatch", 3, 80, 0.015}, {"quarry", 3, 80, 0.020}, {"pricing", 4, 60, 0.030}, {"yard", 3, 20, 0.025}},
            {{"booking", 0, 0.0, {0, 1, 3}, 0.15},
             {"pour-confirmation", 1, 0.10, {0, 3}, 0.10},
             {"stock", 2, 0.10, {0, 1, 2, 3}, 0.30},
             {"slots", 3, 0.0, {0, 1}, 0.15},
             {"price", 4, 0.05, {0, 2}, 0.15},
             {"browse", 6, 0.05, {0}, 0.15}}};
}

CallGraph prowiantGraph()
{
    return {"prowiant",
            {{"katalog", 4, 40, 0.010},
             {"zamowienia", 3, 60, 0.020},
             {"anulacje", 3, 60, 0.025},
             {"wydawka", 3, 20, 0.020}},
            {{"packing-slip", 0, 0.0, {1, 3}, 0.10},
             {"depot", 1, 0.10, {3}, 0.10},
             {"order", 1, 0.15, {0, 1, 3}, 0.20},
             {"cancellation", 2, 0.10, {0, 1, 2, 3}, 0.15},
             {"status", 4, 0.05, {0, 1}, 0.20},
             {"menu", 5, 0.10, {0}, 0.25}},
            0.0005};
}

CallGraph deepGraph()
{
    constexpr std::size_t Depth = 27;
    constexpr std::size_t BottleneckLevel = 20;
    CallGraph graph{"deep27", {}, {}};
    std::vector<std::size_t> path;
    for (std::size_t level = 0; level < Depth; ++level) {
        const int slots = level == BottleneckLevel ? 10 : 100;
        graph.services.push_back({"level" + std::to_string(level), 3, slots, 0.005});
        path.push_back(level);
    }
    graph.kinds = {{"urgent", 0, 0.0, path, 0.3}, {"bulk", 2, 0.0, path, 0.7}, {"entry-only", 5, 0.0, {0}, 0.6}};
    return graph;
}

} // namespace

const std::vector<CallGraph> &callGraphs()
{
    static const std::vector<CallGraph> graphs = {chainGraph(), tuulGraph(), prowiantGraph(), deepGraph()};
    return graphs;
}

const CallGraph *findCallGraph(const std::string &name)
{
    const auto found = std::find_if(callGraphs().begin(), callGraphs().end(), [&](const CallGraph &graph) {
        return graph.name == name;
    });
    return found == callGraphs().end() ? nullptr : &*found;
}

} // namespace fescuepond::experiment
