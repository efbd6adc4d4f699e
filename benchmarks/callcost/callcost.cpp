// Measures what each kind of message costs the nodes in processor time, and compares two builds in one run. With
// --rates, measures the cost and memory of calls at several rates instead.

#include "benchmarks/callcost/messagebudget.h"
#include "benchmarks/callcost/ratetable.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <exception>
#include <memory>
#include <string>
#include <vector>

DEFINE_int32(seconds, 1, "Seconds for each kind of message, or at each rate.");
DEFINE_int32(connections, 8, "Number of connections, each with its own thread.");
DEFINE_int32(service_ms, 2, "Service time of the backend server, in milliseconds.");
DEFINE_int32(rate, 400, "Requests a second, for each kind of message.");
DEFINE_int32(more_targets, 20, "Nodes that are added to the target's service for the kinds with many targets.");
DEFINE_int32(rounds, 2, "Number of measurements of each kind of message, for each build.");
DEFINE_string(compare, "", "Another build folder, whose nodes are measured in turn with the own ones.");
DEFINE_bool(rates, false, "Measure calls at several rates instead.");

namespace
{

using fescuepond::benchmark::BudgetOptions;
using fescuepond::benchmark::MessageBudget;
using fescuepond::benchmark::MessageCost;
using fescuepond::benchmark::messageNames;
using fescuepond::benchmark::printRateTable;

/// All processes of the fleets that run at once.
constexpr int MaxProcesses = 40;
/// Of each fleet before targets are added: the platform's stand-in, three nodes and three backend servers.
constexpr int FirstProcesses = 7;

/// A build and its measurements.
struct MeasuredBuild {
    const char *name;
    std::string folder; ///< Empty: the own build folder.
    std::vector<std::vector<MessageCost>> roundsByKind = {}; ///< For each kind of message, one for each round.
};

using CostReader = const double &(MessageCost::*)() const;

/// The measurements of one kind of message at one node, over the rounds.
struct Samples {
    double mean = 0;
    double least = 0;
    double greatest = 0;
};

Samples samplesOf(const MeasuredBuild &build, std::size_t kind, CostReader reader)
{
    std::vector<double> values;
    double sum = 0;
    for (const MessageCost &cost : build.roundsByKind[kind]) {
        values.push_back((cost.*reader)());
        sum += values.back();
    }
    const auto [least, greatest] = std::minmax_element(values.begin(), values.end());
    return {sum / static_cast<double>(values.size()), *least, *greatest};
}

std::string textOf(const Samples &samples)
{
    return fmt::format("{:.0f} ({:.0f}-{:.0f})", samples.mean, samples.least, samples.greatest);
}

std::string ratioText(const Samples &own, const Samples &other)
{
    return other.mean > 0 ? fmt::format("{:.2f}", own.mean / other.mean) : "-";
}

struct Column {
    const char *role;
    CostReader reader;
};

constexpr std::array Columns = {
    Column{"entry node", &MessageCost::entryMicros},
    Column{"target's node", &MessageCost::targetMicros},
};

/// The least share of the requests of a kind that ended as its name says, over all builds and rounds.
double leastExpectedShare(const std::vector<MeasuredBuild> &builds, std::size_t kind)
{
    double least = 1;
    for (const MeasuredBuild &build : builds) {
        least = std::min(least, samplesOf(build, kind, &MessageCost::expectedShare).least);
    }
    return least;
}

void printTable(const std::vector<MeasuredBuild> &builds, const std::vector<std::string> &names)
{
    constexpr double PerCent = 100;
    fmt::print("processor time (user and system), mean of {} rounds (least-greatest); of messages without idle time\n",
               FLAGS_rounds);
    std::string header = fmt::format("{:<44}", "kind of message");
    for (const MeasuredBuild &build : builds) {
        for (const Column &column : Columns) {
            header += fmt::format("{:>20}", fmt::format("{}{}", build.name, column.role));
        }
    }
    for (const Column &column : Columns) {
        header += builds.size() > 1 ? fmt::format("{:>20}", fmt::format("ratio {}", column.role)) : "";
    }
    fmt::print("{}{:>12}\n", header, "as named %");
    for (std::size_t kind = 0; kind < names.size(); ++kind) {
        std::string line = fmt::format("{:<44}", names[kind]);
        for (const MeasuredBuild &build : builds) {
            for (const Column &column : Columns) {
                line += fmt::format("{:>20}", textOf(samplesOf(build, kind, column.reader)));
            }
        }
        for (const Column &column : Columns) {
            line += builds.size() > 1 ? fmt::format(
                        "{:>20}",
                        ratioText(samplesOf(builds[0], kind, column.reader), samplesOf(builds[1], kind, column.reader)))
                                      : "";
        }
        fmt::print("{}{:>12.0f}\n", line, PerCent * leastExpectedShare(builds, kind));
    }
}

/// Measures each kind of message on all builds in turn and prints the table; returns the exit code.
int printBudget()
{
    std::vector<MeasuredBuild> builds = {{"", ""}};
    if (!FLAGS_compare.empty()) {
        builds = {{"own ", ""}, {"other ", FLAGS_compare}};
    }
    const int maxMoreTargets = MaxProcesses / static_cast<int>(builds.size()) - FirstProcesses;
    const auto options = BudgetOptions()
                             .withSeconds(FLAGS_seconds)
                             .withRate(FLAGS_rate)
                             .withCallers(FLAGS_connections)
                             .withServiceMs(FLAGS_service_ms)
                             .withMoreTargets(std::min(FLAGS_more_targets, maxMoreTargets));
    std::vector<std::unique_ptr<MessageBudget>> budgets;
    for (MeasuredBuild &build : builds) {
        budgets.push_back(std::make_unique<MessageBudget>(options, build.folder));
        build.roundsByKind.resize(messageNames(options).size());
    }
    for (std::size_t kind = 0; kind < messageNames(options).size(); ++kind) {
        for (int round = 0; round < FLAGS_rounds; ++round) {
            for (std::size_t build = 0; build < builds.size(); ++build) {
                builds[build].roundsByKind[kind].push_back(budgets[build]->measure(kind));
            }
        }
    }
    printTable(builds, messageNames(options));
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        return FLAGS_rates ? printRateTable(FLAGS_seconds, FLAGS_connections, FLAGS_service_ms) : printBudget();
    } catch (const std::exception &error) {
        fmt::print(stderr, "could not measure: {}\n", error.what());
        return 1;
    }
}
