// Measures what the promise of an acknowledged departure costs: how long the acknowledgement takes, how long after a
// kill a node's backend server is ready again, and the calls to the platform's store. A node of another build can be
// measured in the same way (--program).

#include "benchmarks/support/programfolder.h"
#include "tests/platform/desiredstateobject.h"
#include "tests/platform/targetcalls.h"
#include "tests/support/fleet.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <numeric>
#include <string>
#include <thread>
#include <vector>

DEFINE_int32(rounds, 20, "Departures and kills that are measured.");
DEFINE_int32(store_ms, 0, "Milliseconds by which the store delays each response.");
DEFINE_string(program, "", "Build folder with the program fescuepond; empty: the own one.");

using namespace fescuepond::test;
using namespace fescuepond::benchmark;

namespace
{

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::duration<double, std::milli>;

/// For calls of the store that a start makes besides, such as the first watch.
constexpr auto SettleTime = std::chrono::milliseconds(500);

/// Measured values, in milliseconds.
class Samples
{
public:
    void add(double value)
    {
        m_values.push_back(value);
    }
    void print(const std::string &what)
    {
        std::sort(m_values.begin(), m_values.end());
        const double mean =
            std::accumulate(m_values.begin(), m_values.end(), 0.0) / static_cast<double>(m_values.size());
        fmt::print("{:<58} mean {:7.2f} median {:7.2f} greatest {:7.2f} ms\n",
                   what,
                   mean,
                   m_values.at(m_values.size() / 2),
                   m_values.back());
    }

private:
    std::vector<double> m_values;
};

class Measurement
{
public:
    Measurement()
    {
        writeDesiredState(m_fleet.platform(),
                          {RouteObject()
                               .withName("r")
                               .withHost("a.example")
                               .withPathPrefix("/read/")
                               .withService("yard")
                               .withTimeoutSeconds(2)
                               .withMaxAttempts(1)});
        m_fleet.setPlatformMode(fmt::format("slow={}", FLAGS_store_ms));
        m_node = &m_fleet.addNode(
            {.name = "yard-1",
             .service = "yard",
             .settings = {"environment: fleet", "backend_reports: true", "registration_address: 127.0.0.1:0"},
             .backendAddress = "127.0.0.1:1",
             .startsBackend = false});
    }

    void run()
    {
        waitForReady();
        for (int i = 0; i < FLAGS_rounds; ++i) {
            restart(m_readyFirst);
        }
        for (int i = 0; i < FLAGS_rounds; ++i) {
            m_reported.add(send(nextReport("ready")));
            const int before = storeCalls();
            m_departed.add(send(i % 2 == 0 ? nextReport("draining") : deregistrationCall()));
            m_departureCalls += storeCalls() - before;
            // A later start of the backend server reports as soon as the node listens.
            m_born += 1;
            m_sequence = 0;
            restart(m_ready);
        }
        m_reported.print("acknowledgement of a report");
        m_departed.print("acknowledgement of a departure");
        m_readyFirst.print("first report after a kill to ready, no departure stored");
        m_ready.print("the same, departures stored");
        fmt::print("store calls: {:.2f} a departure, {:.2f} a start after a kill (within {} ms, watches included)\n",
                   static_cast<double>(m_departureCalls) / FLAGS_rounds,
                   static_cast<double>(m_startCalls) / (2.0 * FLAGS_rounds),
                   SettleTime.count());
    }

private:
    std::string registrationAddress() const
    {
        return valueIn(m_node->process->waitForLine("event=listening listener=registration"), "address");
    }

    HttpCall nextReport(const std::string &state)
    {
        return reportCall({.state = state, .sequence = ++m_sequence, .born = m_born, .zone = "zone-a"});
    }

    /// Sends a report or a deregistration; returns the time to its acknowledgement.
    double send(const HttpCall &call)
    {
        const auto start = Clock::now();
        const HttpReply reply = sendHttp(m_registration, call);
        const double time = Milliseconds(Clock::now() - start).count();
        if (reply.status != 200) {
            fmt::print("{} {} was answered {}\n", call.method, call.body, reply.status);
        }
        return time;
    }

    /// Kills the node and starts it again. Measures from the first report, which is sent as soon as the node listens.
    void restart(Samples &samples)
    {
        const int before = storeCalls();
        m_fleet.restartNode(*m_node);
        samples.add(waitForReady());
        std::this_thread::sleep_for(SettleTime);
        m_startCalls += storeCalls() - before;
    }

    double waitForReady()
    {
        m_registration = registrationAddress();
        m_node->process->waitForLine("event=node_started");
        const auto sentAt = std::chrono::system_clock::now().time_since_epoch();
        send(nextReport("ready"));
        const std::string line = m_node->process->waitForLine("event=backend_state instance=i-1 state=ready");
        const std::string readyAt = valueIn(line, "time_ms");
        return readyAt.empty() ? -1 : std::max(0.0, std::stod(readyAt) - Milliseconds(sentAt).count());
    }

    int storeCalls() const
    {
        const auto counts = m_fleet.platformCallCounts();
        return std::accumulate(counts.begin(), counts.end(), 0, [](int sum, const auto &entry) {
            return sum + entry.second;
        });
    }

    Fleet m_fleet;
    FleetNode *m_node = nullptr;
    std::string m_registration; ///< Address of the node's listener for reports.
    std::uint64_t m_born = TargetReport().born;
    int m_sequence = 0;
    Samples m_reported;
    Samples m_departed;
    Samples m_readyFirst;
    Samples m_ready;
    int m_departureCalls = 0;
    int m_startCalls = 0;
};

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const ProgramFolder program(FLAGS_program);
    Measurement().run();
    return 0;
}
