// Compares load balancing strategies in virtual time: random, fewest calls in flight from the calling node, and power
// of two choices by utilisation (servers/routing). Several caller nodes send to targets of unequal speed and size; a
// caller knows only its own calls and the load that answers report.

#include "servers/routing/router.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <vector>

DEFINE_int32(callers, 12, "Number of nodes that send calls.");
DEFINE_double(seconds, 30, "Virtual seconds of each run.");
DEFINE_uint64(seed, 1, "Seed of the first of three runs.");

using namespace fescuepond;

namespace
{

using Seconds = std::chrono::duration<double>;

/// A target with a FIFO queue. Service times are exponentially distributed; `serviceMs` is their mean.
struct Target {
    int slots;
    double serviceMs;
    int running = 0;
    std::deque<std::size_t> waiting = {};
};

/// The service "pricing" (4 targets with 60 slots each) after two of its targets were put on older, slower machines.
std::vector<Target> unequalTargets()
{
    return {{60, 20}, {60, 20}, {60, 60}, {20, 40}};
}

/// Calls per second that the targets can serve.
double capacity(const std::vector<Target> &targets)
{
    double callsPerSecond = 0;
    for (const Target &target : targets) {
        callsPerSecond += target.slots * 1000.0 / target.serviceMs;
    }
    return callsPerSecond;
}

using Loads = std::vector<TargetLoad>;
using ChooseFunction = std::size_t (*)(const Loads &loads, TimePoint now, std::uint64_t random);

std::size_t chooseRandom(const Loads &loads, TimePoint, std::uint64_t random)
{
    return random % loads.size();
}

std::size_t chooseLeastInFlight(const Loads &loads, TimePoint, std::uint64_t random)
{
    const std::size_t offset = random % loads.size();
    std::size_t best = offset;
    for (std::size_t i = 0; i < loads.size(); ++i) {
        const std::size_t candidate = (offset + i) % loads.size();
        if (loads[candidate].inFlight() < loads[best].inFlight()) {
            best = candidate;
        }
    }
    return best;
}

std::size_t chooseTwoByUtilisation(const Loads &loads, TimePoint now, std::uint64_t random)
{
    RouteCandidates candidates;
    for (std::size_t i = 0; i < loads.size(); ++i) {
        candidates.push_back(RouteCandidate().withTarget(Member().withName(std::to_string(i))).withLoad(loads[i]));
    }
    return std::stoul(chooseTarget(candidates, RouteOrigin(), now, random)->target().name());
}

struct Call {
    TimePoint sentAt;
    std::size_t caller;
    std::size_t target;
};

struct RoutingResult {
    std::vector<double> milliseconds; ///< Latencies of all calls, sorted.

    double quantile(double q) const
    {
        return milliseconds[static_cast<std::size_t>(q * static_cast<double>(milliseconds.size() - 1))];
    }
};

/// One run in virtual time; calls arrive as a Poisson process of a constant rate.
class Run
{
public:
    Run(ChooseFunction choose, double rate, std::uint64_t seed)
        : m_choose(choose)
        , m_rate(rate)
        , m_random(seed)
        , m_loads(static_cast<std::size_t>(FLAGS_callers), Loads(m_targets.size()))
    {
    }

    RoutingResult run()
    {
        scheduleAt(m_now, [this] {
            handleArrival();
        });
        const TimePoint end = m_now + std::chrono::duration_cast<Duration>(Seconds(FLAGS_seconds));
        while (!m_events.empty() && m_events.begin()->first < end) {
            auto event = m_events.extract(m_events.begin());
            m_now = event.key();
            event.mapped()();
        }
        std::sort(m_result.milliseconds.begin(), m_result.milliseconds.end());
        return m_result;
    }

private:
    void scheduleAt(TimePoint time, std::function<void()> event)
    {
        m_events.emplace(time, std::move(event));
    }

    void handleArrival()
    {
        const std::size_t caller = m_random() % m_loads.size();
        Loads &loads = m_loads[caller];
        const std::size_t target = m_choose(loads, m_now, m_random());
        loads[target] = afterSend(loads[target], m_now);
        m_calls.push_back({m_now, caller, target});
        m_targets[target].waiting.push_back(m_calls.size() - 1);
        startWaitingCalls(target);
        scheduleAt(m_now + drawExponential(1 / m_rate), [this] {
            handleArrival();
        });
    }

    void startWaitingCalls(std::size_t targetIndex)
    {
        Target &target = m_targets[targetIndex];
        while (target.running < target.slots && !target.waiting.empty()) {
            const std::size_t call = target.waiting.front();
            target.waiting.pop_front();
            ++target.running;
            scheduleAt(m_now + drawExponential(target.serviceMs / 1000), [this, call] {
                finishCall(call);
            });
        }
    }

    void finishCall(std::size_t callIndex)
    {
        const Call &call = m_calls[callIndex];
        Target &target = m_targets[call.target];
        --target.running;
        const auto answer = CallOutcome()
                                .withState(CallState::Answered)
                                .withTargetLimit(target.slots)
                                .withTargetInFlight(target.running + static_cast<int>(target.waiting.size()));
        TargetLoad &load = m_loads[call.caller][call.target];
        load = afterOutcome(load, answer, m_now);
        m_result.milliseconds.push_back(std::chrono::duration<double, std::milli>(m_now - call.sentAt).count());
        startWaitingCalls(call.target);
    }

    Duration drawExponential(double meanSeconds)
    {
        return std::chrono::duration_cast<Duration>(
            Seconds(std::exponential_distribution<>(1 / meanSeconds)(m_random)));
    }

    const ChooseFunction m_choose;
    const double m_rate;
    std::mt19937_64 m_random;
    std::vector<Target> m_targets = unequalTargets();
    std::vector<Loads> m_loads; ///< By caller, then by target.
    std::vector<Call> m_calls;
    std::multimap<TimePoint, std::function<void()>> m_events;
    TimePoint m_now{std::chrono::hours(1)};
    RoutingResult m_result;
};

struct Strategy {
    const char *name;
    ChooseFunction choose;
};

constexpr std::array Strategies = {Strategy{"random", chooseRandom},
                                   Strategy{"least in flight", chooseLeastInFlight},
                                   Strategy{"two by utilisation", chooseTwoByUtilisation}};
constexpr std::array Demands = {0.5, 0.7, 0.9}; ///< As fractions of the capacity of all targets.
constexpr int Runs = 3; ///< Of each strategy and demand, each with its own seed.

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    fmt::print("{:<20} {:>8} {:>6} {:>10} {:>10} {:>10}\n", "way", "demand", "seed", "p50 ms", "p99 ms", "calls/s");
    for (const double demand : Demands) {
        for (const Strategy &strategy : Strategies) {
            for (int run = 0; run < Runs; ++run) {
                const std::uint64_t seed = FLAGS_seed + static_cast<std::uint64_t>(run);
                const RoutingResult result = Run(strategy.choose, demand * capacity(unequalTargets()), seed).run();
                fmt::print("{:<20} {:>8.1f} {:>6} {:>10.1f} {:>10.1f} {:>10.0f}\n",
                           strategy.name,
                           demand,
                           seed,
                           result.quantile(0.5),
                           result.quantile(0.99),
                           static_cast<double>(result.milliseconds.size()) / FLAGS_seconds);
            }
        }
    }
    return 0;
}
