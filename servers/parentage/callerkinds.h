// Which kinds of calls the backend server beside a node makes, and which only clients send.
//
// Where clients and the backend server use one address and calls don't name their parent, only the deadline tells them
// apart: a call that the backend server makes expires with the call that it is made for, or earlier. A request that
// would outlive all calls that run here was sent by a client, and so were the others of its kind.

#pragma once

#include <map>
#include <string>

namespace fescuepond
{

class CallerKinds
{
public:
    /// A call of `kind` has arrived. `mayBeChild`: a call runs here that expires with it or later.
    void arrived(const std::string &kind, bool mayBeChild);
    /// Whether the backend server makes the calls of this kind; false while too few have come.
    bool isFromBackend(const std::string &kind) const;

private:
    struct Counts {
        double m_calls = 0;
        double m_clients = 0; ///< Those that can't be children.
    };
    std::map<std::string, Counts> m_kinds;
};

} // namespace fescuepond
