// Measures the time until a published configuration is in force on all nodes, with a platform that works and with one
// that fails right after it has accepted the write. Also measures the rate of platform calls of an idle fleet.

#include "tests/support/fleet.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

DEFINE_int32(nodes, 50, "Number of nodes, each with a backend stand-in.");
DEFINE_int32(rounds, 5, "Number of publications for each state of the platform.");
DEFINE_int32(idle_seconds, 30, "Seconds over which calls to the platform are counted.");

using namespace fescuepond::test;

namespace
{

constexpr int ZoneCount = 3;
constexpr auto ActivationTimeout = std::chrono::seconds(60);
constexpr auto PollInterval = std::chrono::milliseconds(20);
constexpr auto SettleTime = std::chrono::seconds(5);
constexpr double SecondsPerMinute = 60;

std::string declaration(int deadlineMs)
{
    return fmt::format(
        "service: yard\nkinds:\n  - {{name: read, method: GET, path: /*, rank: 5, idempotent: true, "
        "deadline_ms: {}}}\n",
        deadlineMs);
}

std::int64_t wallClockMs()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

/// Unix times, in ms, at which configuration versions came into force at a node, from its event log.
std::vector<std::int64_t> activationTimes(const FleetNode &node)
{
    std::vector<std::int64_t> times;
    std::istringstream lines(node.process->output());
    std::string line;
    while (std::getline(lines, line)) {
        if (line.find("event=configuration_in_force") != std::string::npos) {
            times.push_back(std::stoll(valueIn(line, "time_ms")));
        }
    }
    return times;
}

class Measurement
{
public:
    void startNodes()
    {
        m_fleet.publish({declaration(++m_deadlineMs)});
        std::string seeds;
        for (int i = 0; i < FLAGS_nodes; ++i) {
            NodeOptions options;
            options.name = fmt::format("node-{}", i);
            options.service = "yard";
            options.zone = fmt::format("zone-{}", i % ZoneCount);
            options.settings = {"http_threads: 2", "backend_threads: 2"};
            if (!seeds.empty()) {
                options.settings.push_back("seed_peers: [\"" + seeds + "\"]");
            }
            m_nodes.push_back(&m_fleet.addNode(options));
            seeds = m_nodes.front()->peer;
        }
        waitForVersions(1);
        std::this_thread::sleep_for(SettleTime);
    }

    /// Prints the rate of platform calls by operation while the fleet is idle.
    void countPlatformCalls() const
    {
        const auto before = m_fleet.platformCallCounts();
        std::this_thread::sleep_for(std::chrono::seconds(FLAGS_idle_seconds));
        double total = 0;
        for (const auto &[operation, count] : m_fleet.platformCallCounts()) {
            const auto found = before.find(operation);
            const int made = count - (found == before.end() ? 0 : found->second);
            const double perMinute = made * SecondsPerMinute / FLAGS_idle_seconds;
            total += perMinute;
            fmt::print("nodes={} operation={} calls_per_minute={:.0f}\n", FLAGS_nodes, operation, perMinute);
        }
        fmt::print("nodes={} all calls_per_minute={:.0f}\n", FLAGS_nodes, total);
    }

    /// Publishes one version, then makes the platform fail: `platformFailure` is a mode of its stand-in, "kill", or
    /// empty for no failure. Prints the times until the version was in force at the first, the median and the last
    /// node.
    void publish(const char *platform, const std::string &platformFailure)
    {
        const std::size_t versions = activationTimes(*m_nodes.front()).size() + 1;
        const std::int64_t begin = wallClockMs();
        if (m_fleet.publish({declaration(++m_deadlineMs)}) != 0) {
            fmt::print("platform={} publication failed\n", platform);
            return;
        }
        if (platformFailure == "kill") {
            m_fleet.platformProcess().signal(SIGKILL);
        } else if (!platformFailure.empty()) {
            m_fleet.setPlatformMode(platformFailure);
        }
        const std::int64_t end = wallClockMs();
        const std::size_t missing = waitForVersions(versions);
        std::vector<std::int64_t> times;
        for (const FleetNode *node : m_nodes) {
            const auto all = activationTimes(*node);
            if (all.size() >= versions) {
                times.push_back(all.back() - begin);
            }
        }
        std::sort(times.begin(), times.end());
        fmt::print("nodes={} platform={} published_ms={} first_ms={} median_ms={} last_ms={} missing={}\n",
                   FLAGS_nodes,
                   platform,
                   end - begin,
                   times.front(),
                   times[times.size() / 2],
                   times.back(),
                   missing);
        std::fflush(stdout);
        if (platformFailure != "kill") {
            m_fleet.setPlatformMode("");
            std::this_thread::sleep_for(SettleTime);
        }
    }

private:
    /// Waits until `count` versions have come into force at every node; after a time-out, returns the number of nodes
    /// where they haven't.
    std::size_t waitForVersions(std::size_t count) const
    {
        const auto end = std::chrono::steady_clock::now() + ActivationTimeout;
        std::size_t missing = m_nodes.size();
        while (missing > 0 && std::chrono::steady_clock::now() < end) {
            std::this_thread::sleep_for(PollInterval);
            missing = static_cast<std::size_t>(std::count_if(m_nodes.begin(), m_nodes.end(), [&](const auto *node) {
                return activationTimes(*node).size() < count;
            }));
        }
        return missing;
    }

    Fleet m_fleet;
    std::vector<FleetNode *> m_nodes;
    int m_deadlineMs = 1000;
};

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    Measurement measurement;
    measurement.startNodes();
    measurement.countPlatformCalls();
    for (int i = 0; i < FLAGS_rounds; ++i) {
        measurement.publish("works", "");
    }
    for (int i = 0; i < FLAGS_rounds; ++i) {
        measurement.publish("down_after_write", "down=1");
    }
    measurement.publish("killed_after_write", "kill");
    return 0;
}
