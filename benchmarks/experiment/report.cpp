// Results as CSV and as a table.

#include "benchmarks/experiment/report.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <tuple>

namespace fescuepond::experiment
{

namespace
{

struct GroupKey {
    std::string graph;
    std::string caseName;
    std::string policy;

    friend auto operator<=>(const GroupKey &, const GroupKey &) = default;
};

/// Least, mean and greatest of some figures.
struct Spread {
    double least = 0;
    double mean = 0;
    double greatest = 0;
};

template<typename Figure>
Spread spreadOf(const std::vector<const RunResult *> &runs, const Figure &figure)
{
    Spread spread{figure(*runs.front()), 0, figure(*runs.front())};
    for (const RunResult *run : runs) {
        const double value = figure(*run);
        spread.least = std::min(spread.least, value);
        spread.greatest = std::max(spread.greatest, value);
        spread.mean += value / static_cast<double>(runs.size());
    }
    return spread;
}

double part(double value, double whole)
{
    return whole > 0 ? value / whole : 1;
}

using Groups = std::vector<std::pair<GroupKey, std::vector<const RunResult *>>>;

/// Runs that differ only by their seed, in the order in which they were run.
Groups groupsOf(const std::vector<RunResult> &results)
{
    Groups groups;
    for (const RunResult &result : results) {
        const GroupKey key{result.graph, result.caseName, result.policy};
        const auto found = std::find_if(groups.begin(), groups.end(), [&](const auto &group) {
            return group.first == key;
        });
        if (found == groups.end()) {
            groups.push_back({key, {&result}});
        } else {
            found->second.push_back(&result);
        }
    }
    return groups;
}

} // namespace

std::string toCsv(const std::vector<RunResult> &results)
{
    std::string text =
        "graph,case,policy,seed,kind,rank,offered_per_s,ideal_per_s,done_per_s,refused_per_s,wasted_part,"
        "recovery_s\n";
    for (const RunResult &run : results) {
        const std::string head = fmt::format("{},{},{},{}", run.graph, run.caseName, run.policy, run.seed);
        const std::string tail = fmt::format("{:.1f},{:.4f},{}",
                                             run.refusals,
                                             run.wastedPart,
                                             run.hasTrigger ? fmt::format("{:.1f}", run.recoverySeconds) : "");
        for (const KindResult &kind : run.kinds) {
            text += fmt::format("{},{},{},{:.2f},{:.2f},{:.2f},{}\n",
                                head,
                                kind.name,
                                kind.rank,
                                kind.offered,
                                kind.ideal,
                                kind.done,
                                tail);
        }
    }
    return text;
}

std::string toTable(const std::vector<RunResult> &results)
{
    std::string text;
    for (const auto &[key, runs] : groupsOf(results)) {
        const Spread goodput = spreadOf(runs, [](const RunResult &run) {
            return part(run.totalDone(), run.totalIdeal());
        });
        const Spread wasted = spreadOf(runs, [](const RunResult &run) {
            return run.wastedPart;
        });
        const Spread recovery = spreadOf(runs, [](const RunResult &run) {
            return run.recoverySeconds;
        });
        text += fmt::format("{:9} {:18} {:24} goodput/ideal {:.3f} ({:.3f}..{:.3f}) wasted {:.3f}",
                            key.graph,
                            key.caseName,
                            key.policy,
                            goodput.mean,
                            goodput.least,
                            goodput.greatest,
                            wasted.mean);
        if (runs.front()->hasTrigger) {
            text += fmt::format(" recovery {:.1f}..{:.1f} s", recovery.least, recovery.greatest);
        }
        for (std::size_t kind = 0; kind < runs.front()->kinds.size(); ++kind) {
            const Spread done = spreadOf(runs, [kind](const RunResult &run) {
                return part(run.kinds[kind].done, run.kinds[kind].offered);
            });
            const Spread ideal = spreadOf(runs, [kind](const RunResult &run) {
                return part(run.kinds[kind].ideal, run.kinds[kind].offered);
            });
            text += fmt::format(" {} {:.4f}/{:.3f}", runs.front()->kinds[kind].name, done.mean, ideal.mean);
        }
        text += "\n";
    }
    return text;
}

} // namespace fescuepond::experiment
