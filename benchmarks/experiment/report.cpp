// Writes results as CSV, as a text table and as an SVG plot, and reads the CSV back.

#include "benchmarks/experiment/report.h"

#include <fmt/format.h>

#include <algorithm>
#include <sstream>

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

/// Minimum, mean and maximum of a metric over several runs.
struct Spread {
    double min = 0;
    double mean = 0;
    double max = 0;
};

template<typename Metric>
Spread spreadOf(const std::vector<const RunResult *> &runs, const Metric &metric)
{
    Spread spread{metric(*runs.front()), 0, metric(*runs.front())};
    for (const RunResult *run : runs) {
        const double value = metric(*run);
        spread.min = std::min(spread.min, value);
        spread.max = std::max(spread.max, value);
        spread.mean += value / static_cast<double>(runs.size());
    }
    return spread;
}

/// `value` as a fraction of `whole`; 1 if `whole` is 0.
double ratio(double value, double whole)
{
    return whole > 0 ? value / whole : 1;
}

using RunGroups = std::vector<std::pair<GroupKey, std::vector<const RunResult *>>>;

/// Groups runs that differ only in their seed; groups are in the order of their first run.
RunGroups groupRuns(const std::vector<RunResult> &results)
{
    RunGroups groups;
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

/// Columns of the CSV text, in their order.
enum Column : std::size_t {
    GraphColumn,
    CaseColumn,
    PolicyColumn,
    SeedColumn,
    KindColumn,
    RankColumn,
    OfferedColumn,
    IdealColumn,
    DoneColumn,
    RefusedColumn,
    WastedColumn,
    RecoveryColumn,
    ColumnCount
};

std::vector<std::string> splitCells(const std::string &line)
{
    std::vector<std::string> cells;
    std::istringstream words(line);
    std::string cell;
    while (std::getline(words, cell, ',')) {
        cells.push_back(cell);
    }
    cells.resize(ColumnCount); // The last cell may be empty.
    return cells;
}

bool isSameRun(const RunResult &a, const RunResult &b)
{
    return a.graph == b.graph && a.caseName == b.caseName && a.policy == b.policy && a.seed == b.seed;
}

// Geometry of the plot, in pixels unless stated otherwise.
constexpr int PlotTop = 34;
constexpr int PlotLeft = 300;
constexpr int PlotWidth = 400; ///< Length of a bar whose goodput is the ideal.
constexpr double PlotRange = 1.3; ///< Width of the plot, as a multiple of PlotWidth.
constexpr int BarHeight = 12;
constexpr int BarStep = 17;
constexpr double TargetFraction = 0.95; ///< Goodput, as a fraction of the ideal, at which a line is drawn.

std::string svgBar(const GroupKey &key, const Spread &goodput, int y)
{
    const int middle = y + BarHeight / 2;
    return fmt::format(
        "<text x=\"8\" y=\"{}\">{}, {}</text>"
        "<rect x=\"{}\" y=\"{}\" width=\"{:.1f}\" height=\"{}\" fill=\"{}\"/>"
        "<line x1=\"{:.1f}\" x2=\"{:.1f}\" y1=\"{}\" y2=\"{}\" stroke=\"black\"/>\n",
        y + BarHeight - 2,
        key.caseName,
        key.policy,
        PlotLeft,
        y,
        goodput.mean * PlotWidth,
        BarHeight,
        key.policy == "full" ? "#36c" : "#999",
        PlotLeft + goodput.min * PlotWidth,
        PlotLeft + goodput.max * PlotWidth,
        middle,
        middle);
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
                                             run.failedAttempts,
                                             run.wastedFraction,
                                             run.hasTrigger ? fmt::format("{:.1f}", run.recoverySeconds) : "");
        for (const KindResult &kind : run.kinds) {
            text += fmt::format("{},{},{},{:.2f},{:.2f},{:.2f},{}\n",
                                head,
                                kind.name,
                                kind.rank,
                                kind.offered,
                                kind.ideal,
                                kind.goodput,
                                tail);
        }
    }
    return text;
}

std::string toTable(const std::vector<RunResult> &results)
{
    std::string text;
    for (const auto &[key, runs] : groupRuns(results)) {
        const Spread goodput = spreadOf(runs, [](const RunResult &run) {
            return ratio(run.totalGoodput(), run.totalIdeal());
        });
        const Spread wasted = spreadOf(runs, [](const RunResult &run) {
            return run.wastedFraction;
        });
        const Spread recovery = spreadOf(runs, [](const RunResult &run) {
            return run.recoverySeconds;
        });
        text += fmt::format("{:9} {:18} {:24} goodput/ideal {:.3f} ({:.3f}..{:.3f}) wasted {:.3f}",
                            key.graph,
                            key.caseName,
                            key.policy,
                            goodput.mean,
                            goodput.min,
                            goodput.max,
                            wasted.mean);
        if (runs.front()->hasTrigger) {
            text += fmt::format(" recovery {:.1f}..{:.1f} s", recovery.min, recovery.max);
        }
        for (std::size_t kind = 0; kind < runs.front()->kinds.size(); ++kind) {
            const Spread done = spreadOf(runs, [kind](const RunResult &run) {
                return ratio(run.kinds[kind].goodput, run.kinds[kind].offered);
            });
            const Spread ideal = spreadOf(runs, [kind](const RunResult &run) {
                return ratio(run.kinds[kind].ideal, run.kinds[kind].offered);
            });
            text += fmt::format(" {} {:.4f}/{:.3f}", runs.front()->kinds[kind].name, done.mean, ideal.mean);
        }
        text += "\n";
    }
    return text;
}

std::vector<RunResult> fromCsv(const std::string &text)
{
    std::vector<RunResult> results;
    std::istringstream lines(text);
    std::string line;
    std::getline(lines, line); // The header line.
    while (std::getline(lines, line)) {
        const std::vector<std::string> cells = splitCells(line);
        RunResult run;
        run.graph = cells.at(GraphColumn);
        run.caseName = cells.at(CaseColumn);
        run.policy = cells.at(PolicyColumn);
        run.seed = std::stoull(cells.at(SeedColumn));
        run.failedAttempts = std::stod(cells.at(RefusedColumn));
        run.wastedFraction = std::stod(cells.at(WastedColumn));
        run.hasTrigger = !cells.at(RecoveryColumn).empty();
        run.recoverySeconds = run.hasTrigger ? std::stod(cells.at(RecoveryColumn)) : -1;
        if (results.empty() || !isSameRun(results.back(), run)) {
            results.push_back(run);
        }
        results.back().kinds.push_back({.name = cells.at(KindColumn),
                                        .rank = std::stoi(cells.at(RankColumn)),
                                        .offered = std::stod(cells.at(OfferedColumn)),
                                        .ideal = std::stod(cells.at(IdealColumn)),
                                        .goodput = std::stod(cells.at(DoneColumn))});
    }
    return results;
}

std::string toSvg(const std::vector<RunResult> &results, const std::string &graph)
{
    std::string bars;
    int y = PlotTop;
    for (const auto &[key, runs] : groupRuns(results)) {
        if (key.graph != graph) {
            continue;
        }
        const Spread goodput = spreadOf(runs, [](const RunResult &run) {
            return ratio(run.totalGoodput(), run.totalIdeal());
        });
        bars += svgBar(key, goodput, y);
        y += BarStep;
    }
    const double target = PlotLeft + TargetFraction * PlotWidth;
    return fmt::format(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" height=\"{}\" "
        "font-family=\"sans-serif\" font-size=\"12\">\n"
        "<text x=\"8\" y=\"20\">{}: goodput of root requests as a fraction of the ideal; "
        "line at {}</text>\n{}"
        "<line x1=\"{}\" x2=\"{}\" y1=\"{}\" y2=\"{}\" stroke=\"#c33\"/>\n</svg>\n",
        PlotLeft + PlotWidth * PlotRange,
        y + BarStep,
        graph,
        TargetFraction,
        bars,
        target,
        target,
        PlotTop,
        y);
}

} // namespace fescuepond::experiment
