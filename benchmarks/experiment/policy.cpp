// The table of policies that are compared.

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
    policy.description = "no control at all: every call goes to the backend server, which has its own FIFO queue";
    policy.admission = false;
    policy.pathLimit = false;
    policy.cancellation = false;
    return policy;
}

Policy fixedLimits()
{
    Policy policy;
    policy.name = "fifo";
    policy.description = "fixed limits, FIFO queues, up to 3 sendings at each hop";
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
        {.name = "full", .description = "the whole policy"},
        noControl(),
        fixedLimits(),
        without("path-limit", "no limit for each path at the entry", &Policy::pathLimit),
        without("rank-order", "FIFO queues", &Policy::rankOrder),
        without("root-hash", "another random order within a rank at each service", &Policy::rootHash),
        without("shares", "declared shares ignored", &Policy::keepShares),
        without("deadline-refusal", "calls are run however near their deadline is", &Policy::rejectUnmeetable),
        without("cancellation", "work goes on after the deadline", &Policy::cancellation),
        without("adaptive-limit", "the limit is the number of slots in the settings", &Policy::adaptiveLimit),
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
