// Measures the processor time of each kind of message, by a table of the kinds. What the nodes use while they are idle
// is measured on the same fleet and subtracted from the other kinds.

#include "benchmarks/callcost/messagebudget.h"

#include "benchmarks/support/processusage.h"
#include "benchmarks/support/programfolder.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <numeric>
#include <thread>

namespace fescuepond::benchmark
{

namespace
{

using Clock = std::chrono::steady_clock;

constexpr double MicrosPerSecond = 1e6;
/// Requests are sent for this fraction of the time before the measurement, so that connections and limits are as in a
/// node that has served for a while.
constexpr double WarmupFraction = 0.25;
/// Enough callers for the queues of an overloaded path to be full all the time.
constexpr int OverloadCallers = 64;
constexpr int StatusOk = 200;
constexpr int StatusUnavailable = 503;

/// Processor time of each node of a fleet since its start, in seconds.
std::vector<double> processorSeconds(const NodeList &nodes)
{
    std::vector<double> seconds;
    seconds.reserve(nodes.size());
    for (const test::FleetNode *node : nodes) {
        seconds.push_back(processorSecondsOf(node->process->id()));
    }
    return seconds;
}

} // namespace

/// A kind of message, and how it is brought about. What a kind of measurement doesn't use has its default.
struct MessageKind {
    const char *name;
    bool hasMoreTargets; ///< Whether the target's service then has many nodes.
    NodeList (BudgetFleet::*targets)() const;
    MessageCost (MessageBudget::*measure)(const MessageKind &kind);
    const char *prefix = ""; ///< Of the path of the requests.
    int expectedStatus = StatusOk;
    const char *expectedText = ""; ///< Part of the body of the expected response.
    bool connectsEachTime = false;
    int minCallers = 0;
};

namespace
{

/// The kinds with many targets come last: the nodes are added once. An idle second comes before the kinds for which it
/// is subtracted.
constexpr std::array Kinds = {
    MessageKind{.name = "idle second",
                .hasMoreTargets = false,
                .targets = &BudgetFleet::yardNodes,
                .measure = &MessageBudget::measureIdleSecond},
    MessageKind{.name = "call",
                .hasMoreTargets = false,
                .targets = &BudgetFleet::yardNodes,
                .measure = &MessageBudget::measureRequests,
                .prefix = AnsweredPrefix},
    MessageKind{.name = "call, new connection",
                .hasMoreTargets = false,
                .targets = &BudgetFleet::yardNodes,
                .measure = &MessageBudget::measureRequests,
                .prefix = AnsweredPrefix,
                .connectsEachTime = true},
    MessageKind{.name = "rejection by a node, overload",
                .hasMoreTargets = false,
                .targets = &BudgetFleet::gateNode,
                .measure = &MessageBudget::measureRequests,
                .prefix = SlowPrefix,
                .expectedStatus = StatusUnavailable,
                .expectedText = "not-run: overload",
                .minCallers = OverloadCallers},
    MessageKind{.name = "rejection by the backend server",
                .hasMoreTargets = false,
                .targets = &BudgetFleet::yardNodes,
                .measure = &MessageBudget::measureRequests,
                .prefix = RejectedPrefix,
                .expectedStatus = StatusUnavailable,
                .expectedText = "not-run: backend-busy"},
    MessageKind{.name = "the same, retried once",
                .hasMoreTargets = false,
                .targets = &BudgetFleet::yardNodes,
                .measure = &MessageBudget::measureRequests,
                .prefix = RejectedTwicePrefix,
                .expectedStatus = StatusUnavailable,
                .expectedText = "not-run: backend-busy"},
    MessageKind{.name = "idle second",
                .hasMoreTargets = true,
                .targets = &BudgetFleet::yardNodes,
                .measure = &MessageBudget::measureIdleSecond},
    MessageKind{.name = "call",
                .hasMoreTargets = true,
                .targets = &BudgetFleet::yardNodes,
                .measure = &MessageBudget::measureRequests,
                .prefix = AnsweredPrefix},
};

std::unique_ptr<BudgetFleet> startFleet(const BudgetOptions &options, const std::string &buildFolder)
{
    const ProgramFolder programs(buildFolder);
    return std::make_unique<BudgetFleet>(options.serviceMs());
}

} // namespace

MessageBudget::MessageBudget(const BudgetOptions &options, std::string buildFolder)
    : m_options(options)
    , m_buildFolder(std::move(buildFolder))
    , m_fleet(startFleet(m_options, m_buildFolder))
{
}

MessageCost MessageBudget::measure(std::size_t index)
{
    const MessageKind &kind = Kinds.at(index);
    if (kind.hasMoreTargets && !m_hasMoreTargets) {
        const ProgramFolder programs(m_buildFolder);
        m_fleet->addTargets(m_options.moreTargets());
        m_hasMoreTargets = true;
    }
    return (this->*kind.measure)(kind);
}

MessageCost MessageBudget::measureIdleSecond(const MessageKind &kind)
{
    const NodeList &nodes = m_fleet->nodes();
    const std::vector<double> before = processorSeconds(nodes);
    const auto begin = Clock::now();
    std::this_thread::sleep_for(Seconds(m_options.seconds()));
    const std::vector<double> after = processorSeconds(nodes);
    const Seconds elapsed = Clock::now() - begin;
    m_idleFractions.clear();
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        m_idleFractions.push_back((after[i] - before[i]) / elapsed.count());
    }
    const NodeList targets = (*m_fleet.*kind.targets)();
    const double targetMean = idleFraction(targets) / static_cast<double>(targets.size());
    return MessageCost()
        .withEntryMicros(idleFraction(m_fleet->entryNode()) * MicrosPerSecond)
        .withTargetMicros(targetMean * MicrosPerSecond)
        .withExpectedShare(1);
}

MessageCost MessageBudget::measureRequests(const MessageKind &kind)
{
    const PacedLoad load = m_fleet->loadOf(kind.prefix)
                               .withRate(m_options.rate())
                               .withCallers(std::max(m_options.callers(), kind.minCallers))
                               .withConnectsEachTime(kind.connectsEachTime)
                               .withExpectedStatus(kind.expectedStatus)
                               .withExpectedText(kind.expectedText);
    const Seconds time(m_options.seconds());
    sendLoad(load, time * WarmupFraction);

    const NodeList entry = m_fleet->entryNode();
    const NodeList targets = (*m_fleet.*kind.targets)();
    const std::vector<double> entryBefore = processorSeconds(entry);
    const std::vector<double> targetsBefore = processorSeconds(targets);
    const auto begin = Clock::now();
    const LoadCounts counts = sendLoad(load, time);
    const Seconds elapsed = Clock::now() - begin;
    const double microsPerMessage = MicrosPerSecond / std::max(counts.sent(), 1);
    return MessageCost()
        .withEntryMicros(busySeconds(entry, entryBefore, elapsed) * microsPerMessage)
        .withTargetMicros(busySeconds(targets, targetsBefore, elapsed) * microsPerMessage)
        .withExpectedShare(static_cast<double>(counts.expected()) / std::max(counts.sent(), 1));
}

double MessageBudget::busySeconds(const NodeList &nodes, const std::vector<double> &before, Seconds elapsed) const
{
    const std::vector<double> after = processorSeconds(nodes);
    const double used =
        std::accumulate(after.begin(), after.end(), 0.0) - std::accumulate(before.begin(), before.end(), 0.0);
    return used - idleFraction(nodes) * elapsed.count();
}

double MessageBudget::idleFraction(const NodeList &nodes) const
{
    double sum = 0;
    for (const test::FleetNode *node : nodes) {
        sum += m_idleFractions.at(indexOf(node));
    }
    return sum;
}

std::size_t MessageBudget::indexOf(const test::FleetNode *node) const
{
    const NodeList &nodes = m_fleet->nodes();
    return static_cast<std::size_t>(std::find(nodes.begin(), nodes.end(), node) - nodes.begin());
}

std::vector<std::string> messageNames(const BudgetOptions &options)
{
    std::vector<std::string> names;
    for (const MessageKind &kind : Kinds) {
        const bool isIdle = kind.measure == &MessageBudget::measureIdleSecond;
        names.push_back(fmt::format("{}{} ({})",
                                    kind.name,
                                    kind.hasMoreTargets ? fmt::format(", {} more targets", options.moreTargets()) : "",
                                    isIdle ? "us/s" : "us/message"));
    }
    return names;
}

} // namespace fescuepond::benchmark
