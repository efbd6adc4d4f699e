// Measures the cost of callers' idle keep-alive connections at a node: threads and resident memory. Each connection
// carries one request before it goes idle, and one at the end, which checks that the node kept it open.

#include "tests/support/fleet.h"
#include "tests/support/rawconnection.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <chrono>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

DEFINE_int32(connections, 600, "Number of idle connections.");
DEFINE_int32(idle_seconds, 5, "Seconds for which the connections are idle.");

using namespace fescuepond::test;

namespace
{

constexpr const char *Yard = R"(
service: yard
kinds:
  - {name: read, method: GET, path: /*, rank: 5, idempotent: true, deadline_ms: 5000}
)";
constexpr auto AnswerTimeout = std::chrono::seconds(2);

/// A field of /proc/PID/status, such as "VmRSS".
std::string statusField(pid_t process, const std::string &field)
{
    std::ifstream stream(fmt::format("/proc/{}/status", process));
    std::string line;
    while (std::getline(stream, line)) {
        if (line.starts_with(field + ":")) {
            const auto at = line.find_first_not_of(" \t", field.size() + 1);
            return line.substr(at);
        }
    }
    return "?";
}

void report(const char *when, const FleetNode &node, std::size_t connections)
{
    const pid_t id = node.process->id();
    fmt::print("when={} connections={} threads={} resident=\"{}\"\n",
               when,
               connections,
               statusField(id, "Threads"),
               statusField(id, "VmRSS"));
}

/// Sends a request on each connection, one after another; returns the number of answers with status 200.
int requestOnAll(const std::vector<std::unique_ptr<RawConnection>> &connections)
{
    int answered = 0;
    for (const auto &connection : connections) {
        const std::size_t before = connection->received().size();
        connection->send("GET /a HTTP/1.1\r\nHost: yard\r\n\r\n");
        connection->receiveMoreThan(before, AnswerTimeout);
        answered += connection->received().find("HTTP/1.1 200", before) != std::string::npos ? 1 : 0;
    }
    return answered;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    Fleet fleet;
    fleet.publish({Yard});
    const FleetNode &node = fleet.addNode({.name = "yard-a", .service = "yard", .settings = {"backend_slots: 80"}});
    fleet.waitUntilReady(1);
    report("before", node, 0);
    std::vector<std::unique_ptr<RawConnection>> connections;
    connections.reserve(static_cast<std::size_t>(FLAGS_connections));
    for (int i = 0; i < FLAGS_connections; ++i) {
        connections.push_back(std::make_unique<RawConnection>(node.front));
    }
    const int first = requestOnAll(connections);
    report("answered_once", node, connections.size());
    std::this_thread::sleep_for(std::chrono::seconds(FLAGS_idle_seconds));
    report("idle", node, connections.size());
    const int second = requestOnAll(connections);
    report("answered_again", node, connections.size());
    fmt::print("answered_first={} answered_again={}\n", first, second);
    return first == FLAGS_connections && second == FLAGS_connections ? 0 : 1;
}
