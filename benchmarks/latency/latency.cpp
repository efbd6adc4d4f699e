// Measures the latency that the nodes add to a call.
//
// The same request goes to the backend server directly, through the target's node, and through an entry node and the
// target's node. The three paths take turns at the same rate, in one run on one machine.

#include "benchmarks/support/timedconnection.h"
#include "benchmarks/support/twoservicefleet.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <memory>
#include <thread>
#include <vector>

DEFINE_int32(requests, 4000, "Number of requests measured on each path.");
DEFINE_int32(rate, 300, "Requests per second over all paths together.");
DEFINE_int32(connections, 4, "Connections per path; each thread has one connection of each path.");
DEFINE_int32(service_ms, 2, "Service time of the backend server, in milliseconds.");
DEFINE_int32(warmup, 200, "Requests on each path before the measurement starts.");

using fescuepond::benchmark::ReadPath;
using fescuepond::benchmark::TimedConnection;
using fescuepond::benchmark::TwoServiceFleet;

namespace
{

using Clock = std::chrono::steady_clock;

struct Path {
    const char *name;
    std::string address;
};

using Samples = std::vector<double>;

/// Sends requests on all paths in turn, over one connection per path; returns the latencies by path, in microseconds.
std::vector<Samples> measure(const std::vector<Path> &paths)
{
    std::vector<std::unique_ptr<TimedConnection>> connections;
    connections.reserve(paths.size());
    for (const Path &path : paths) {
        connections.push_back(std::make_unique<TimedConnection>(path.address, "yard"));
    }
    std::vector<Samples> samples(paths.size());
    const auto interval = std::chrono::duration_cast<Clock::duration>(
        std::chrono::duration<double>(static_cast<double>(FLAGS_connections) / FLAGS_rate));
    const int requestsPerConnection = FLAGS_requests / FLAGS_connections;
    const int warmup = FLAGS_warmup / FLAGS_connections;
    auto due = Clock::now();
    for (int round = 0; round < warmup + requestsPerConnection; ++round) {
        for (std::size_t path = 0; path < paths.size(); ++path) {
            due += interval;
            std::this_thread::sleep_until(due);
            const auto latency = connections[path]->get(ReadPath);
            if (round >= warmup) {
                samples[path].push_back(latency.count());
            }
        }
    }
    return samples;
}

double quantile(const Samples &sorted, double q)
{
    const auto index = static_cast<std::size_t>(q * static_cast<double>(sorted.size() - 1));
    return sorted[index];
}

void print(const std::vector<Path> &paths, std::vector<Samples> &samples)
{
    constexpr std::array Quantiles = {0.5, 0.99, 0.999};
    fmt::print("{:<12} {:>8} {:>30} {:>30}\n", "path", "samples", "latency us p50/p99/p99.9", "added us p50/p99/p99.9");
    for (Samples &path : samples) {
        std::sort(path.begin(), path.end());
    }
    for (std::size_t path = 0; path < paths.size(); ++path) {
        std::string latency;
        std::string added;
        for (const double q : Quantiles) {
            const double value = quantile(samples[path], q);
            latency += fmt::format(" {:>8.0f}", value);
            added += fmt::format(" {:>8.0f}", value - quantile(samples[0], q));
        }
        fmt::print("{:<12} {:>8} {:>30} {:>30}\n", paths[path].name, samples[path].size(), latency, added);
    }
}

std::vector<Samples> measureOnAllConnections(const std::vector<Path> &paths)
{
    std::vector<std::vector<Samples>> samplesByConnection(static_cast<std::size_t>(FLAGS_connections));
    std::vector<std::thread> threads;
    threads.reserve(samplesByConnection.size());
    for (auto &samples : samplesByConnection) {
        threads.emplace_back([&] {
            samples = measure(paths);
        });
    }
    std::vector<Samples> samples(paths.size());
    for (std::size_t i = 0; i < samplesByConnection.size(); ++i) {
        threads[i].join();
        for (std::size_t path = 0; path < paths.size(); ++path) {
            samples[path].insert(
                samples[path].end(), samplesByConnection[i][path].begin(), samplesByConnection[i][path].end());
        }
    }
    return samples;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const TwoServiceFleet services(FLAGS_service_ms);
    if (!services.waitUntilReady()) {
        fmt::print(stderr, "the nodes did not become ready within 10 s\n");
        return 1;
    }
    const std::vector<Path> paths = {
        {"direct", services.yard().backend}, {"one node", services.yard().front}, {"two nodes", services.desk().front}};
    std::vector<Samples> samples = measureOnAllConnections(paths);
    print(paths, samples);
    return 0;
}
