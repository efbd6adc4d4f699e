// Infers which kinds of calls the backend server beside a node makes, and which only clients send.
//
// If clients and the backend server send to the same address, and calls don't name the call they are made for (their
// parent), only deadlines distinguish them. A call of the backend server has the same deadline as its parent, or an
// earlier one if it has a shorter time limit of its own. So a kind is attributed to the backend server if its calls
// hardly ever outlive all running calls, and if they have the same deadline as one of those far more often than by
// chance.

#pragma once

#include <map>
#include <string>

namespace fescuepond
{

/// How the deadline of an arriving call relates to those of the running calls. Deadlines that differ by at most the
/// tolerance of CallsInFlight::findByDeadline() (2.5 ms) count as the same.
struct DeadlineCorrelation {
    bool canBeChild = false; ///< A running call has the same deadline or a later one.
    bool isMatch = false; ///< A running call has the same deadline.
    double coincidenceProbability = 0; ///< Probability of a match by chance.
};

class BackendCallKinds
{
public:
    void observeArrival(const std::string &kind, const DeadlineCorrelation &correlation);
    /// Whether the backend server makes the calls of this kind; false while too few have arrived.
    bool isFromBackend(const std::string &kind) const;
    /// Whether clients send the calls of this kind: many can't be children of a running call. A kind may be neither.
    bool isFromClients(const std::string &kind) const;

private:
    struct Counts {
        double m_calls = 0;
        double m_clientCalls = 0; ///< Calls that can't be children of a running call.
        double m_matches = 0; ///< Calls with the same deadline as a running call.
        double m_expectedMatches = 0; ///< Matches expected by chance.
    };
    std::map<std::string, Counts> m_kinds;
};

} // namespace fescuepond
