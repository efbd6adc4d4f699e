// Which kinds of calls the backend server beside a node makes, and which only clients send.
//
// Where clients and the backend server use one address and calls don't name their parent, only the deadline tells them
// apart: a call that the backend server makes expires with the call that it is made for, or earlier. A request that
// would outlive all calls that run here was sent by a client, and so were the others of its kind.

#pragma once

#include <map>
#include <set>
#include <string>

namespace fescuepond
{

class CallerKinds
{
public:
    /// A call of `kind` has arrived. `mayBeChild`: a call runs here that expires with it or later.
    void arrived(const std::string &kind, bool mayBeChild);
    /// A call of `kind` was found to be made for one of `parentKind`.
    void matched(const std::string &kind, const std::string &parentKind);
    /// Whether the backend server makes the calls of this kind; false while too few have come.
    bool isFromBackend(const std::string &kind) const;
    /// The kinds of calls that make calls of `kind`.
    std::set<std::string> parentsOf(const std::string &kind) const;

private:
    struct Counts {
        double m_calls = 0;
        double m_clients = 0; ///< Those that can't be children.
        double m_matches = 0;
        std::map<std::string, double> m_parents; ///< Matches by the parent's kind.
    };
    std::map<std::string, Counts> m_kinds;
};

} // namespace fescuepond
