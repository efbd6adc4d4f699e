// Which kinds of calls the backend server beside a node makes, and which only clients send.
//
// Where clients and the backend server use one address and calls don't name their parent, only the deadline tells them
// apart. A call that the backend server makes expires with the call that it is made for, or earlier if it has a shorter
// limit of its own. So a kind is the backend server's when its calls hardly ever outlive all that runs here, and when
// they expire together with one of those far more often than chance would have it.

#pragma once

#include <map>
#include <string>

namespace fescuepond
{

/// How the deadline of a call lies to those of the calls that run when it arrives.
struct DeadlineCorrelation {
    bool canBeChild = false; ///< A call runs that expires with it or later.
    bool isMatch = false; ///< A call runs that expires at the same moment.
    double matchProbability = 0; ///< How probable it is that one does so by chance.
};

class BackendCallKinds
{
public:
    /// A call of `kind` has arrived.
    void observeArrival(const std::string &kind, const DeadlineCorrelation &correlation);
    /// Whether the backend server makes the calls of this kind; false while too few have come.
    bool isFromBackend(const std::string &kind) const;

private:
    struct Counts {
        double m_calls = 0;
        double m_clientCalls = 0; ///< Those that can't be children.
        double m_matches = 0; ///< Those that expire together with a call that runs.
        double m_expectedMatches = 0; ///< Matches that chance would bring.
    };
    std::map<std::string, Counts> m_kinds;
};

} // namespace fescuepond
