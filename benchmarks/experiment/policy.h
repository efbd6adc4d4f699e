// The policies that are compared: the whole one, the baselines, and the whole one with one mechanism switched off.

#pragma once

#include <string>
#include <vector>

namespace fescuepond::experiment
{

struct Policy {
    std::string name;
    std::string description;
    bool admission = true; ///< A limit and a queue before each backend server.
    bool rankOrder = true; ///< Off: FIFO, and a full queue refuses the newcomer.
    bool keepShares = true;
    bool rejectUnmeetable = true; ///< Refusal when the deadline is nearer than the likely service time.
    bool pathLimit = true;
    bool adaptiveLimit = true; ///< Off: a fixed limit.
    bool rootHash = true; ///< Off: another random order at each service.
    bool cancellation = true; ///< Off: work goes on after the deadline.
    int attemptsPerHop = 1; ///< Sendings of one call at each hop.
};

const std::vector<Policy> &policies();
/// Null when there is none of that name.
const Policy *findPolicy(const std::string &name);

} // namespace fescuepond::experiment
