// Soak test of at-most-once execution on a fleet of real processes. Not part of CI.
//
// Callers submit keyed requests, also repeatedly and to several nodes at once, while nodes are killed, paused and
// stopped and the platform fails. One seed determines the random choices. At the end the history of all keys is
// checked; the exit code is 0 if it has no violation.

#include "tests/support/fleet.h"
#include "tests/support/keyhistory.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <array>
#include <atomic>
#include <csignal>
#include <mutex>
#include <random>
#include <sstream>
#include <thread>

DEFINE_uint64(seed, 1, "Seed of the random choices of callers and failures.");
DEFINE_double(minutes, 1, "Duration of the run in minutes.");

namespace fescuepond::test
{

namespace
{

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int Callers = 12;
constexpr int Zones = 3;
constexpr int NodesPerZone = 2;
constexpr int MaxSubmissions = 40;
constexpr milliseconds StopTimeout{35'000};
constexpr milliseconds LongCallerTimeout{6'000};
constexpr milliseconds FetchTimeout{1'000};

constexpr const char *Dispatch = R"(
service: dispatch
kinds:
  - {name: book, method: POST, path: /book, rank: 5, idempotent: false, deadline_ms: 2000, retries: 2}
)";

class Random
{
public:
    explicit Random(std::uint64_t seed)
        : m_engine(seed)
    {
    }
    int uniformBelow(int limit)
    {
        return std::uniform_int_distribution<int>(0, limit - 1)(m_engine);
    }
    bool isTrueWithProbability(double probability)
    {
        return std::bernoulli_distribution(probability)(m_engine);
    }
    milliseconds between(int low, int high)
    {
        return milliseconds(low + uniformBelow(high - low));
    }

private:
    std::mt19937_64 m_engine;
};

class Soak
{
public:
    Soak()
    {
        if (m_fleet.publish({Dispatch}) != 0) {
            throw std::runtime_error("publishing the declaration of dispatch failed");
        }
        for (int i = 0; i < Zones * NodesPerZone; ++i) {
            m_nodes.push_back(&m_fleet.addNode({.name = fmt::format("dispatch-{}", i),
                                                .service = "dispatch",
                                                .zone = fmt::format("zone-{}", i % Zones),
                                                .backendFlags = {"--service_ms=10"}}));
        }
        if (!m_fleet.waitUntilReady(m_nodes.size())) {
            throw std::runtime_error("the nodes of the fleet were not ready within 10 s");
        }
        updateFronts();
    }

    /// Runs callers and injects failures for `length`, then waits until each caller has resolved its last key.
    void run(std::uint64_t seed, Clock::duration length)
    {
        std::vector<std::thread> callers;
        callers.reserve(Callers);
        for (int caller = 0; caller < Callers; ++caller) {
            callers.emplace_back([this, caller, seed] {
                runCaller(caller, Random(seed * Callers + static_cast<std::uint64_t>(caller)));
            });
        }
        Random random(seed);
        const auto end = Clock::now() + length;
        while (Clock::now() < end) {
            std::this_thread::sleep_for(random.between(200, 2000));
            injectFailure(random);
        }
        m_fleet.setPlatformMode("");
        m_isStopping = true;
        for (std::thread &caller : callers) {
            caller.join();
        }
    }

    /// Prints the counts and violations; returns whether there are no violations.
    bool report() const
    {
        std::string counts;
        for (const auto &[outcome, count] : m_history.outcomes()) {
            counts += fmt::format(" {}={}", outcome.empty() ? "caller-timeout" : outcome, count);
        }
        fmt::print("keys={}{}\n", m_keyCount.load(), counts);
        for (const auto &[name, count] : m_failures) {
            fmt::print("failure={} count={}\n", name, count);
        }
        auto violations = m_history.violations({m_nodes.begin(), m_nodes.end()});
        violations.insert(violations.end(), m_unexpectedExits.begin(), m_unexpectedExits.end());
        for (const std::string &violation : violations) {
            fmt::print("violation: {}\n", violation);
        }
        fmt::print("violations={}\n", violations.size());
        return violations.empty();
    }

private:
    using FailureFunction = void (Soak::*)(FleetNode &node, Random &random);
    struct FailureRow {
        const char *name;
        FailureFunction run;
    };

    void injectFailure(Random &random)
    {
        static constexpr std::array Rows = {FailureRow{"kill", &Soak::kill},
                                            FailureRow{"pause", &Soak::pause},
                                            FailureRow{"planned-stop", &Soak::stop},
                                            FailureRow{"platform-down", &Soak::platformDown},
                                            FailureRow{"platform-slow", &Soak::platformSlow},
                                            FailureRow{"platform-lost-answers", &Soak::losePlatformResponses}};
        const FailureRow &row = Rows.at(static_cast<std::size_t>(random.uniformBelow(Rows.size())));
        FleetNode &node = *m_nodes[static_cast<std::size_t>(random.uniformBelow(static_cast<int>(m_nodes.size())))];
        ++m_failures[row.name];
        (this->*row.run)(node, random);
        checkProcesses();
    }

    void kill(FleetNode &node, Random &)
    {
        node.process->signal(SIGKILL);
        node.process->wait(StopTimeout);
        restart(node);
    }
    void pause(FleetNode &node, Random &random)
    {
        node.process->signal(SIGSTOP);
        std::this_thread::sleep_for(random.between(100, 6000));
        node.process->signal(SIGCONT);
    }
    void stop(FleetNode &node, Random &)
    {
        node.process->signal(SIGTERM);
        const auto code = node.process->wait(StopTimeout);
        if (code != 0) {
            ++m_failures["planned-stop-with-exit-code-not-0"];
        }
        restart(node);
    }
    void platformDown(FleetNode &, Random &random)
    {
        m_fleet.setPlatformMode("down=1");
        std::this_thread::sleep_for(random.between(100, 4000));
        m_fleet.setPlatformMode("");
    }
    void platformSlow(FleetNode &, Random &random)
    {
        m_fleet.setPlatformMode("slow=700");
        std::this_thread::sleep_for(random.between(100, 4000));
        m_fleet.setPlatformMode("");
    }
    void losePlatformResponses(FleetNode &, Random &)
    {
        m_fleet.setPlatformMode("lose=5");
    }

    void restart(FleetNode &node)
    {
        m_fleet.setPlatformMode("");
        m_fleet.restartNode(node);
        updateFronts();
    }

    /// Records node processes that exited on their own, as a failed invariant check makes them do, and restarts them.
    void checkProcesses()
    {
        for (FleetNode *node : m_nodes) {
            if (const auto code = node->process->wait(milliseconds(0))) {
                m_unexpectedExits.push_back(
                    fmt::format("{} exited unexpectedly with code {}", node->options.name, *code));
                restart(*node);
            }
        }
    }

    void updateFronts()
    {
        const std::lock_guard guard(m_mutex);
        m_fronts.clear();
        for (const FleetNode *node : m_nodes) {
            m_fronts.push_back(node->front);
        }
    }
    std::string randomFront(Random &random)
    {
        const std::lock_guard guard(m_mutex);
        return m_fronts[static_cast<std::size_t>(random.uniformBelow(static_cast<int>(m_fronts.size())))];
    }

    void runCaller(int caller, Random random)
    {
        for (int number = 0; !m_isStopping; ++number) {
            submitUntilResolved(newBooking(fmt::format("key-{}-{}", caller, number), random), random);
        }
    }

    HttpCall newBooking(const std::string &key, Random &random)
    {
        ++m_keyCount;
        HttpCall call;
        call.method = "POST";
        call.host = "dispatch";
        call.path = "/book";
        call.body = key;
        HttpCall fetch;
        fetch.path = "/.fescuepond/tickets";
        fetch.timeout = FetchTimeout;
        const std::string ticket =
            random.isTrueWithProbability(0.5) ? firstLine(sendHttp(randomFront(random), fetch).body) : "";
        if (ticket.empty()) {
            call.headers["Idempotency-Key"] = key;
        } else {
            call.headers["X-Fescuepond-Ticket"] = ticket;
        }
        return call;
    }
    static std::string firstLine(const std::string &text)
    {
        std::istringstream lines(text);
        std::string line;
        std::getline(lines, line);
        return line;
    }

    /// Submits a booking until its outcome is known, and at random again after that.
    void submitUntilResolved(HttpCall call, Random &random)
    {
        for (int i = 0; i < MaxSubmissions; ++i) {
            call.timeout = random.isTrueWithProbability(0.2) ? random.between(1, 100) : LongCallerTimeout;
            if (random.isTrueWithProbability(0.2)) {
                submitConcurrently(call, random);
            }
            const std::string outcome = submit(call, randomFront(random));
            const bool isSentAgain = outcome.empty() || random.isTrueWithProbability(outcome == "answered" ? 0.3 : 0.5);
            if (!isSentAgain) {
                return;
            }
            std::this_thread::sleep_for(random.between(1, 300));
        }
    }
    void submitConcurrently(const HttpCall &call, Random &random)
    {
        const std::string first = randomFront(random);
        std::thread other([this, &call, &first] {
            submit(call, first);
        });
        submit(call, randomFront(random));
        other.join();
    }
    std::string submit(const HttpCall &call, const std::string &front)
    {
        const HttpReply reply = sendHttp(front, call);
        m_history.recordSubmission(call.body, reply);
        return reply.outcome();
    }

    Fleet m_fleet;
    std::vector<FleetNode *> m_nodes;
    KeyHistory m_history;
    std::map<std::string, int> m_failures;
    std::vector<std::string> m_unexpectedExits;
    std::atomic<int> m_keyCount = 0;
    std::atomic<bool> m_isStopping = false;
    std::mutex m_mutex;
    std::vector<std::string> m_fronts; ///< Guarded by m_mutex.
};

} // namespace

} // namespace fescuepond::test

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    fmt::print("seed={} minutes={}\n", FLAGS_seed, FLAGS_minutes);
    fescuepond::test::Soak soak;
    soak.run(FLAGS_seed,
             std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                 std::chrono::duration<double, std::ratio<60>>(FLAGS_minutes)));
    return soak.report() ? 0 : 1;
}
