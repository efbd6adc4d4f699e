// The policies that the experiment compares: the complete one, baselines, and the complete one without one of its
// mechanisms.

#pragma once

#include <string>
#include <vector>

namespace fescuepond::experiment
{

struct Policy {
    std::string name;
    std::string description;
    bool admission = true; ///< A concurrency limit and a queue in front of each backend server.
    bool rankOrder = true; ///< Off: FIFO; a full queue rejects the new call.
    bool keepShares = true; ///< Calls within the kept share of their kind precede all others.
    bool rejectUnmeetable = true; ///< Rejects calls with less time left than their minimum service time.
    bool pathLimit = true; ///< A concurrency window for each path at the entry node.
    bool adaptiveLimit = true; ///< Off: the concurrency limit is the number of declared slots.
    /// Within a rank, all services order calls by the hash of their root request. Off: in a random order of each
    /// service.
    bool rootHash = true;
    bool cancellation = true; ///< Off: calls go on running after their deadline.
    int attemptsPerHop = 1; ///< Attempts of one call at each hop.
};

const std::vector<Policy> &policies();
/// Null if there is no policy of this name.
const Policy *findPolicy(const std::string &name);

} // namespace fescuepond::experiment
