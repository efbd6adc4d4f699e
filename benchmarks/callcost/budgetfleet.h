// The fleet on which the budget of messages is measured, in the environment of the deployments (`fleet`), so that
// rejections by backend servers are handled as there.

#pragma once

#include "benchmarks/support/pacedload.h"
#include "tests/support/fleet.h"

#include <string>
#include <vector>

namespace fescuepond::benchmark
{

using NodeList = std::vector<const test::FleetNode *>;

/// Requests enter at the node of `desk`. `yard` answers them at once or rejects them, `gate` has two slots and takes
/// long.
class BudgetFleet
{
public:
    /// Backend servers of `yard` have a constant service time of `serviceMs`. Throws if the nodes don't become ready.
    explicit BudgetFleet(int serviceMs);

    /// Starts `count` more nodes of `yard`, which share the backend server of the first, and waits until all nodes know
    /// them. Throws if they don't become ready.
    void addTargets(int count);

    /// All nodes, in the order in which they were started.
    const NodeList &nodes() const
    {
        return m_nodes;
    }
    NodeList entryNode() const;
    NodeList yardNodes() const;
    NodeList gateNode() const;

    /// A load of requests whose path begins with `prefix`, one of the prefixes below.
    PacedLoad loadOf(const std::string &prefix) const;

private:
    void addNode(test::NodeOptions options);
    void waitUntilReady() const;
    NodeList nodesOf(const std::string &service) const;

    test::Fleet m_fleet;
    NodeList m_nodes;
};

/// Path prefixes of the routes; the backend servers reject requests whose path begins with "/reject".
constexpr const char *AnsweredPrefix = "/answered/";
constexpr const char *SlowPrefix = "/slow/"; ///< The route to `gate`.
constexpr const char *RejectedPrefix = "/rejected/"; ///< One attempt.
constexpr const char *RejectedTwicePrefix = "/rejected-twice/"; ///< Two attempts.

} // namespace fescuepond::benchmark
