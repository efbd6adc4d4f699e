// The experiment tool: simulates overload control policies under load, in virtual time, and reports their goodput.
//
//     experiment --graph=chain --case=demand-2x,flood-most --policy=full,fifo --seeds=3 --csv=FILE
//     experiment --from=FILE --svg=FILE

#include "benchmarks/experiment/report.h"
#include "benchmarks/experiment/simulation.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <thread>

DEFINE_string(graph, "all", "Call graphs, separated by commas, or 'all'.");
DEFINE_string(case, "all", "Cases, separated by commas, or 'all'.");
DEFINE_string(policy, "full", "Policies, separated by commas, or 'all'.");
DEFINE_int32(seeds, 3, "Runs of each graph, case and policy, with seeds from 1 up.");
DEFINE_double(seconds, 25, "Virtual seconds of each run.");
DEFINE_double(warm_up, 5, "Virtual seconds at the start of each run that are not measured.");
DEFINE_int32(jobs, 3, "Number of runs in parallel.");
DEFINE_string(csv, "", "File to which the results are written.");
DEFINE_string(svg, "", "File to which a plot of the first graph is written.");
DEFINE_string(from, "", "CSV file to read results from, instead of running the experiment.");
DEFINE_bool(list, false, "Print the names of all graphs, cases and policies.");

namespace fescuepond::experiment
{

namespace
{

struct Job {
    const CallGraph *graph;
    const Case *experimentCase;
    const Policy *policy;
    std::uint64_t seed;
};

/// The entries of `table` that are listed in `names`; exits the program if a name is unknown.
template<typename Entry>
std::vector<const Entry *> selectEntries(const std::vector<Entry> &table, const std::string &names)
{
    std::vector<const Entry *> entries;
    if (names == "all") {
        for (const Entry &entry : table) {
            entries.push_back(&entry);
        }
        return entries;
    }
    std::istringstream words(names);
    std::string name;
    while (std::getline(words, name, ',')) {
        const auto found = std::find_if(table.begin(), table.end(), [&](const Entry &entry) {
            return entry.name == name;
        });
        if (found == table.end()) {
            fmt::print(stderr, "unknown name '{}'; --list prints all names\n", name);
            std::exit(2);
        }
        entries.push_back(&*found);
    }
    return entries;
}

std::vector<Job> makeJobs()
{
    std::vector<Job> jobs;
    for (const CallGraph *graph : selectEntries(callGraphs(), FLAGS_graph)) {
        for (const Case *experimentCase : selectEntries(cases(), FLAGS_case)) {
            for (const Policy *policy : selectEntries(policies(), FLAGS_policy)) {
                for (int seed = 1; seed <= FLAGS_seeds; ++seed) {
                    jobs.push_back({graph, experimentCase, policy, static_cast<std::uint64_t>(seed)});
                }
            }
        }
    }
    return jobs;
}

RunResult runJob(const Job &job)
{
    const Scenario scenario = job.experimentCase->makeScenario(*job.graph, FLAGS_seconds);
    RunResult result = Simulation(*job.graph, scenario, *job.policy, job.seed).run(FLAGS_seconds, FLAGS_warm_up);
    result.graph = job.graph->name;
    result.caseName = job.experimentCase->name;
    result.policy = job.policy->name;
    result.seed = job.seed;
    return result;
}

std::vector<RunResult> runAll(const std::vector<Job> &jobs)
{
    std::vector<RunResult> results(jobs.size());
    std::atomic<std::size_t> next = 0;
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(FLAGS_jobs));
    for (int thread = 0; thread < FLAGS_jobs; ++thread) {
        threads.emplace_back([&] {
            for (std::size_t job = next++; job < jobs.size(); job = next++) {
                results[job] = runJob(jobs[job]);
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    return results;
}

void printNames()
{
    for (const CallGraph &graph : callGraphs()) {
        fmt::print("graph {}\n", graph.name);
    }
    for (const Case &entry : cases()) {
        fmt::print("case {}: {}\n", entry.name, entry.description);
    }
    for (const Policy &policy : policies()) {
        fmt::print("policy {}: {}\n", policy.name, policy.description);
    }
}

std::string readFile(const std::string &path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

void writeFile(const std::string &path, const std::string &text)
{
    if (!path.empty()) {
        std::ofstream(path) << text;
    }
}

int run()
{
    if (FLAGS_list) {
        printNames();
        return 0;
    }
    const std::vector<RunResult> results = FLAGS_from.empty() ? runAll(makeJobs()) : fromCsv(readFile(FLAGS_from));
    fmt::print("{}", toTable(results));
    writeFile(FLAGS_csv, toCsv(results));
    if (!results.empty()) {
        writeFile(FLAGS_svg, toSvg(results, results.front().graph));
    }
    return 0;
}

} // namespace

} // namespace fescuepond::experiment

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("simulates overload control policies under load, in virtual time");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return fescuepond::experiment::run();
}
