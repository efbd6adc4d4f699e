// Measures the control plane overhead of a node in idle fleets of several sizes: processor time, gossip traffic, bytes
// that the process reads and writes, memory, and calls to the platform. Also measures the time until all other nodes
// have learnt that one node leaves, and that one was killed.

#include "benchmarks/support/processusage.h"
#include "tests/support/fleet.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <thread>
#include <vector>

DEFINE_string(sizes, "10,40", "Fleet sizes in nodes, separated by commas; a node and its backend need about 20 MB.");
DEFINE_int32(seconds, 30, "Seconds of each measurement.");
DEFINE_int32(zones, 7, "Number of availability zones.");
DEFINE_int32(settle, 15, "Seconds between start and measurement, in which the membership converges.");

using namespace fescuepond::test;
using fescuepond::benchmark::ProcessUsage;
using fescuepond::benchmark::usageOf;

namespace
{

using Clock = std::chrono::steady_clock;

constexpr auto PollInterval = std::chrono::milliseconds(20);
constexpr auto DetectionTimeout = std::chrono::seconds(60);
constexpr double BytesPerKilobyte = 1024;
/// Published because nodes without a configuration would request one from each other.
constexpr const char *Declaration = R"(
service: service-0
kinds:
  - {name: read, method: GET, path: /*, rank: 5, idempotent: true, deadline_ms: 1000, retries: 0}
)";

/// Sum of a metric over all its labels, in Prometheus text format.
double metricSum(const std::string &text, const std::string &name)
{
    std::istringstream lines(text);
    std::string line;
    double sum = 0;
    while (std::getline(lines, line)) {
        if (line.starts_with(name + "{") || line.starts_with(name + " ")) {
            sum += std::stod(line.substr(line.rfind(' ') + 1));
        }
    }
    return sum;
}

std::string metricsOf(const FleetNode &node)
{
    HttpCall call;
    call.path = "/metrics";
    return sendHttp(node.operatorAddress, call).body;
}

/// Bytes that a process has read and written by system calls, files and sockets alike (/proc/PID/io).
double ioBytesOf(pid_t id)
{
    std::ifstream stream(fmt::format("/proc/{}/io", id));
    std::string key;
    double value = 0;
    double bytes = 0;
    while (stream >> key >> value) {
        bytes += key == "rchar:" || key == "wchar:" ? value : 0;
    }
    return bytes;
}

/// Totals of one node since its start.
struct Sample {
    ProcessUsage usage;
    double gossipBytes = 0;
    double ioBytes = 0;
    double platformCalls = 0;
};

Sample sampleOf(const FleetNode &node)
{
    const std::string metrics = metricsOf(node);
    return {usageOf(node.process->id()),
            metricSum(metrics, "fescuepond_gossip_bytes_total"),
            ioBytesOf(node.process->id()),
            metricSum(metrics, "fescuepond_platform_calls_total")};
}

using Nodes = std::vector<FleetNode *>;

std::vector<Sample> sampleAll(const Nodes &nodes)
{
    std::vector<Sample> samples;
    samples.reserve(nodes.size());
    for (const FleetNode *node : nodes) {
        samples.push_back(sampleOf(*node));
    }
    return samples;
}

/// Waits until the event logs of all `nodes` contain `text`; returns the seconds since `begin`, -1 after a time-out.
double secondsUntilAllLog(const Nodes &nodes, const std::string &text, Clock::time_point begin)
{
    const auto hasLogged = [&](const FleetNode *node) {
        return node->process->output().find(text) != std::string::npos;
    };
    while (!std::all_of(nodes.begin(), nodes.end(), hasLogged)) {
        if (Clock::now() - begin > DetectionTimeout) {
            return -1;
        }
        std::this_thread::sleep_for(PollInterval);
    }
    return std::chrono::duration<double>(Clock::now() - begin).count();
}

/// Sends `signal` to the last node, removes it from `nodes`, and returns the seconds until all others log it in
/// `state`.
double detectionSeconds(Nodes &nodes, int signal, const std::string &state)
{
    const FleetNode *node = nodes.back();
    nodes.pop_back();
    const auto begin = Clock::now();
    node->process->signal(signal);
    return secondsUntilAllLog(
        nodes, fmt::format("event=member_changed member={} state={}", node->options.name, state), begin);
}

void measure(int size)
{
    Fleet fleet;
    fleet.publish({Declaration});
    Nodes nodes;
    for (int i = 0; i < size; ++i) {
        nodes.push_back(&fleet.addNode({.name = fmt::format("node-{}", i),
                                        .service = fmt::format("service-{}", i / 6),
                                        .zone = fmt::format("zone-{}", i % FLAGS_zones)}));
    }
    std::this_thread::sleep_for(std::chrono::seconds(FLAGS_settle));

    const auto before = sampleAll(nodes);
    const auto begin = Clock::now();
    std::this_thread::sleep_for(std::chrono::seconds(FLAGS_seconds));
    const auto after = sampleAll(nodes);
    const double seconds = std::chrono::duration<double>(Clock::now() - begin).count();

    Sample sum;
    double maxMegabytes = 0;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        sum.usage.processorSeconds += after[i].usage.processorSeconds - before[i].usage.processorSeconds;
        sum.gossipBytes += after[i].gossipBytes - before[i].gossipBytes;
        sum.ioBytes += after[i].ioBytes - before[i].ioBytes;
        sum.platformCalls += after[i].platformCalls - before[i].platformCalls;
        maxMegabytes = std::max(maxMegabytes, after[i].usage.residentMegabytes);
    }
    const double nodeSeconds = seconds * size;
    const double leave = detectionSeconds(nodes, SIGTERM, "leaving");
    const double kill = detectionSeconds(nodes, SIGKILL, "dead");
    fmt::print("{:>6} {:>8.3f} {:>12.3f} {:>10.3f} {:>8.1f} {:>16.1f} {:>8.2f} {:>8.2f}\n",
               size,
               100 * sum.usage.processorSeconds / nodeSeconds,
               sum.gossipBytes / nodeSeconds / BytesPerKilobyte,
               sum.ioBytes / nodeSeconds / BytesPerKilobyte,
               maxMegabytes,
               sum.platformCalls / seconds * 60,
               leave,
               kill);
    std::fflush(stdout);
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    fmt::print("{:>6} {:>8} {:>12} {:>10} {:>8} {:>16} {:>8} {:>8}\n",
               "nodes",
               "core %",
               "gossip KB/s",
               "io KB/s",
               "MB most",
               "platform/min all",
               "leave s",
               "dead s");
    std::istringstream sizes(FLAGS_sizes);
    std::string size;
    while (std::getline(sizes, size, ',')) {
        measure(std::stoi(size));
    }
    return 0;
}
