// Starts the nodes and backend servers on which the budget of messages is measured.

#include "benchmarks/callcost/budgetfleet.h"

#include "platform/names.h"
#include "tests/platform/desiredstateobject.h"

#include <fmt/format.h>

#include <chrono>
#include <stdexcept>
#include <thread>

namespace fescuepond::benchmark
{

namespace
{

constexpr const char *Host = "budget.example";
constexpr int TimeoutSeconds = 2;
constexpr int GateServiceMs = 100;
constexpr int GateSlots = 2;
/// Nodes log new members, by which the fleet sees that they are known, only once the limit of log lines a second that
/// requests have used up is free again.
constexpr auto LogLimitPause = std::chrono::milliseconds(1200);
/// A node that has just learnt of others connects to them and compares its records with theirs.
constexpr auto SettleTime = std::chrono::seconds(1);

const std::vector<test::RouteObject> &routes()
{
    static const std::vector<test::RouteObject> list = [] {
        const auto route = test::RouteObject().withHost(Host).withTimeoutSeconds(TimeoutSeconds).withMaxAttempts(1);
        const auto toYard = route.withService("yard");
        return std::vector{
            toYard.withName("answered").withPathPrefix(AnsweredPrefix),
            route.withService("gate").withName("slow").withPathPrefix(SlowPrefix),
            toYard.withName("rejected").withPathPrefix(RejectedPrefix),
            toYard.withName("rejected-twice").withPathPrefix(RejectedTwicePrefix).withMaxAttempts(2),
        };
    }();
    return list;
}

std::vector<std::string> backendFlags(int serviceMs)
{
    return {"--fixed",
            fmt::format("--service_ms={}", serviceMs),
            fmt::format("--copied_header={}", platform::AttemptIdHeader),
            fmt::format("--response_header={}: signed", platform::SignatureHeader),
            fmt::format("--rejection_header={}: 1", platform::NotExecutedHeader)};
}

} // namespace

BudgetFleet::BudgetFleet(int serviceMs)
{
    if (!test::writeDesiredState(m_fleet.platform(), routes())) {
        throw std::runtime_error("the platform's stand-in did not take the configuration");
    }
    addNode({.name = "desk-1", .service = "desk", .backendFlags = backendFlags(serviceMs)});
    addNode({.name = "yard-1", .service = "yard", .backendFlags = backendFlags(serviceMs)});
    addNode({.name = "gate-1",
             .service = "gate",
             .backendFlags = backendFlags(GateServiceMs),
             .settings = {fmt::format("backend_slots: {}", GateSlots)}});
    waitUntilReady();
}

void BudgetFleet::addTargets(int count)
{
    std::this_thread::sleep_for(LogLimitPause);
    const std::string backend = yardNodes().front()->backend;
    for (int i = 0; i < count; ++i) {
        addNode({.name = fmt::format("more-{}", i + 1),
                 .service = "yard",
                 .backendAddress = backend,
                 .startsBackend = false});
    }
    waitUntilReady();
}

void BudgetFleet::addNode(test::NodeOptions options)
{
    options.settings.insert(options.settings.end(),
                            {"environment: fleet",
                             "entry_address: 127.0.0.1:0",
                             // Each rejected request may be sent again, whatever the share of such requests.
                             "retry_ratio: 1",
                             "retry_slack: 100000"});
    m_nodes.push_back(&m_fleet.addNode(options));
}

void BudgetFleet::waitUntilReady() const
{
    if (!m_fleet.waitUntilReady(m_nodes.size())) {
        throw std::runtime_error("the nodes did not become ready in time");
    }
    std::this_thread::sleep_for(SettleTime);
}

NodeList BudgetFleet::nodesOf(const std::string &service) const
{
    NodeList list;
    for (const test::FleetNode *node : m_nodes) {
        if (node->options.service == service) {
            list.push_back(node);
        }
    }
    return list;
}

NodeList BudgetFleet::entryNode() const
{
    return nodesOf("desk");
}

NodeList BudgetFleet::yardNodes() const
{
    return nodesOf("yard");
}

NodeList BudgetFleet::gateNode() const
{
    return nodesOf("gate");
}

PacedLoad BudgetFleet::loadOf(const std::string &prefix) const
{
    const std::string listening = m_nodes.front()->process->waitForLine("event=listening listener=entry");
    return PacedLoad()
        .withAddress(test::valueIn(listening, "address"))
        .withHost(Host)
        .withPath(prefix + "item")
        .withIdentifierHeader(platform::AttemptIdHeader);
}

} // namespace fescuepond::benchmark
