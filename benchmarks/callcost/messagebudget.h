// Processor time of each kind of message at the entry node and at the target's node of one build.

#pragma once

#include "benchmarks/callcost/budgetfleet.h"
#include "core/value.h"

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace fescuepond::benchmark
{

/// How the kinds of messages are measured.
class BudgetOptions
{
    FESCUEPOND_FIELD(double, seconds, withSeconds); ///< For each kind.
    FESCUEPOND_FIELD(int, rate, withRate); ///< Requests a second.
    FESCUEPOND_FIELD(int, callers, withCallers);
    FESCUEPOND_FIELD(int, serviceMs, withServiceMs); ///< Service time of the backend servers.
    FESCUEPOND_FIELD(int, moreTargets, withMoreTargets); ///< Nodes that are added for the kinds with many targets.

public:
    friend auto operator<=>(const BudgetOptions &, const BudgetOptions &) = default;
};

/// Processor time of one kind of message, in microseconds a message, or a second of an idle node.
class MessageCost
{
    FESCUEPOND_FIELD(double, entryMicros, withEntryMicros);
    /// Of all nodes of the target's service together; of an idle second, their mean.
    FESCUEPOND_FIELD(double, targetMicros, withTargetMicros);
    FESCUEPOND_FIELD(double, expectedShare, withExpectedShare); ///< Fraction of the requests that ended as named.

public:
    friend auto operator<=>(const MessageCost &, const MessageCost &) = default;
};

/// What the table calls the kinds of messages, in their order, with the unit.
std::vector<std::string> messageNames(const BudgetOptions &options);

struct MessageKind;

/// Measures the kinds of messages on a fleet of its own. Several can exist at a time and measure in turn.
class MessageBudget
{
public:
    /// Starts the fleet with the nodes of `buildFolder`; empty: of the own build folder. Throws if it doesn't become
    /// ready.
    MessageBudget(const BudgetOptions &options, std::string buildFolder);

    /// Measures once the kind with this index in messageNames(). The kinds are measured in their order, each as often
    /// as wanted. Throws if nodes have to be added that don't become ready.
    MessageCost measure(std::size_t index);

    /// Ways to measure a kind.
    MessageCost measureIdleSecond(const MessageKind &kind);
    MessageCost measureRequests(const MessageKind &kind);

private:
    using Seconds = std::chrono::duration<double>;

    /// Processor time of `nodes` together since `before`, in seconds, without what they use while they are idle.
    double busySeconds(const NodeList &nodes, const std::vector<double> &before, Seconds elapsed) const;
    /// Processor time of `nodes` together while they are idle, as a fraction of a core.
    double idleFraction(const NodeList &nodes) const;
    std::size_t indexOf(const test::FleetNode *node) const;

    const BudgetOptions m_options;
    const std::string m_buildFolder;
    std::unique_ptr<BudgetFleet> m_fleet;
    bool m_hasMoreTargets = false;
    std::vector<double> m_idleFractions; ///< Of each node of the fleet; set by measureIdleSecond().
};

} // namespace fescuepond::benchmark
