// The table of policies that the experiment compares.

#include "benchmarks/experiment/policy.h"

#include <algorithm>

namespace fescuepond::experiment
{

namespace
{

Policy without(const std::string &name, const std::string &description, bool Policy::*mechanism)
{
    Policy policy;
    policy.name = "without-" + name;
    policy.description = description;
    policy.*mechanism = false;
    return policy;
}

Policy noControl()
{
    Policy policy;
    policy.name = "none";
    policy.description = "no overload control: every call goes to the backend server, which has its own FIFO queue";
    policy.admission = false;
    policy.pathLimit = false;
    policy.cancellation = false;
    return policy;
}

Policy fixedLimits()
{
    Policy policy;
    policy.name = "fifo";
    policy.description = "fixed limits, FIFO queues, up to 3 attempts at each hop";
    policy.rankOrder = false;
    policy.keepShares = false;
    policy.rejectUnmeetable = false;
    policy.pathLimit = false;
    policy.adaptiveLimit = false;
    policy.cancellation = false;
    policy.attemptsPerHop = 3;
    return policy;
}

} // namespace

const std::vector<Policy> &policies()
{
    static const std::vector<Policy> table = {
        {.name = "full", .description = "the complete policy"},
        noControl(),
        fixedLimits(),
        without("path-limit", "no concurrency window for each path at the entry node", &Policy::pathLimit),
        without("rank-order", "FIFO queues", &Policy::rankOrder),
        without("root-hash", "a different random order within a rank at each service", &Policy::rootHash),
        without("shares", "kept shares are ignored", &Policy::keepShares),
        without(
            "deadline-refusal", "calls that cannot meet their deadline are not rejected", &Policy::rejectUnmeetable),
        without("cancellation", "calls go on running after their deadline", &Policy::cancellation),
        without(
            "adaptive-limit", "the concurrency limit is the number of slots in the settings", &Policy::adaptiveLimit),
    };
    return table;
}

const Policy *findPolicy(const std::string &name)
{
    const auto found = std::find_if(policies().begin(), policies().end(), [&](const Policy &policy) {
        return policy.name == name;
    });
    return found == policies().end() ? nullptr : &*found;
}

} // namespace fescuepond::experiment
