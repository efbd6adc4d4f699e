// Measures the cost of a call at its entry node and at its target's node: memory, and processor time per call, which is
// the slope of a line fitted over several call rates.

#include "benchmarks/callcost/ratetable.h"

#include "benchmarks/support/processusage.h"
#include "benchmarks/support/timedconnection.h"
#include "benchmarks/support/twoservicefleet.h"

#include <fmt/format.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <thread>
#include <vector>

namespace fescuepond::benchmark
{

namespace
{

using Clock = std::chrono::steady_clock;
using test::FleetNode;

/// Calls per second. In the fleet of the documented capacity estimate, a node carries 138 per second on average.
constexpr std::array Rates = {0, 50, 100, 200, 400, 800};

/// Sends calls at `rate` per second for `seconds`; returns the number of calls.
int sendCalls(const std::string &address, int rate, int seconds, int connections)
{
    if (rate == 0) {
        std::this_thread::sleep_for(std::chrono::seconds(seconds));
        return 0;
    }
    const int requestsPerConnection = rate * seconds / connections;
    const auto interval = std::chrono::duration_cast<Clock::duration>(
        std::chrono::duration<double>(static_cast<double>(connections) / rate));
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(connections));
    for (int i = 0; i < connections; ++i) {
        threads.emplace_back([&] {
            TimedConnection connection(address, "yard");
            auto due = Clock::now();
            for (int sent = 0; sent < requestsPerConnection; ++sent) {
                due += interval;
                std::this_thread::sleep_until(due);
                connection.get(ReadPath);
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    return requestsPerConnection * connections;
}

/// A straight line.
struct Line {
    double slope = 0;
    double intercept = 0;
};

/// Fits a line by least squares.
Line fitLine(const std::vector<double> &x, const std::vector<double> &y)
{
    const auto n = static_cast<double>(x.size());
    double sumX = 0;
    double sumY = 0;
    double sumXX = 0;
    double sumXY = 0;
    for (std::size_t i = 0; i < x.size(); ++i) {
        sumX += x[i];
        sumY += y[i];
        sumXX += x[i] * x[i];
        sumXY += x[i] * y[i];
    }
    const double slope = (n * sumXY - sumX * sumY) / (n * sumXX - sumX * sumX);
    return {slope, (sumY - slope * sumX) / n};
}

/// Processor time of one node at each rate, as a fraction of a core.
struct NodeSeries {
    const char *role;
    const FleetNode *node;
    std::vector<double> coreFraction = {};
};

void measure(NodeSeries &entry, NodeSeries &target, std::vector<double> &rates, int seconds, int connections)
{
    fmt::print("{:>8} {:>14} {:>14} {:>12} {:>12} {:>8}\n",
               "calls/s",
               "entry core %",
               "target core %",
               "entry MB",
               "target MB",
               "threads");
    for (const int rate : Rates) {
        const ProcessUsage entryBefore = usageOf(entry.node->process->id());
        const ProcessUsage targetBefore = usageOf(target.node->process->id());
        const auto begin = Clock::now();
        const int sent = sendCalls(entry.node->front, rate, seconds, connections);
        const double elapsed = std::chrono::duration<double>(Clock::now() - begin).count();
        const ProcessUsage entryAfter = usageOf(entry.node->process->id());
        const ProcessUsage targetAfter = usageOf(target.node->process->id());
        rates.push_back(sent / elapsed);
        entry.coreFraction.push_back((entryAfter.processorSeconds - entryBefore.processorSeconds) / elapsed);
        target.coreFraction.push_back((targetAfter.processorSeconds - targetBefore.processorSeconds) / elapsed);
        fmt::print("{:>8.0f} {:>14.2f} {:>14.2f} {:>12.1f} {:>12.1f} {:>8}\n",
                   rates.back(),
                   100 * entry.coreFraction.back(),
                   100 * target.coreFraction.back(),
                   entryAfter.residentMegabytes,
                   targetAfter.residentMegabytes,
                   targetAfter.threads);
        std::fflush(stdout);
    }
}

} // namespace

int printRateTable(int seconds, int connections, int serviceMs)
{
    const TwoServiceFleet services(serviceMs);
    if (!services.waitUntilReady()) {
        fmt::print(stderr, "the nodes did not become ready within 10 s\n");
        return 1;
    }
    NodeSeries entry{"entry node", &services.desk()};
    NodeSeries target{"target's node", &services.yard()};
    std::vector<double> rates;
    measure(entry, target, rates, seconds, connections);
    for (const NodeSeries *series : {&entry, &target}) {
        const Line line = fitLine(rates, series->coreFraction);
        constexpr double MicrosPerSecond = 1e6;
        fmt::print("{}: {:.0f} us of processor time for each call, {:.2f}% of a core with no calls\n",
                   series->role,
                   line.slope * MicrosPerSecond,
                   100 * line.intercept);
    }
    return 0;
}

} // namespace fescuepond::benchmark
