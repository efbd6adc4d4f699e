// Counts the calls of each kind that can't have been made by the backend server.

#include "servers/parentage/callerkinds.h"

namespace fescuepond
{

namespace
{
constexpr double FewestCalls = 8; ///< Before that, a kind counts as the clients'.
/// Part of a kind's calls. Not none: a call whose parent was given up, or ran before this process started, looks like a
/// client's.
constexpr double MostClients = 0.1;
constexpr double MostCounted = 512; ///< Calls, after which both counts are halved.
constexpr double ForgottenPart = 0.5;
} // namespace

void CallerKinds::arrived(const std::string &kind, bool mayBeChild)
{
    Counts &counts = m_kinds[kind];
    ++counts.m_calls;
    counts.m_clients += mayBeChild ? 0 : 1;
    if (counts.m_calls >= MostCounted) {
        counts.m_calls *= ForgottenPart;
        counts.m_clients *= ForgottenPart;
    }
}

bool CallerKinds::isFromBackend(const std::string &kind) const
{
    const auto found = m_kinds.find(kind);
    return found != m_kinds.end() && found->second.m_calls >= FewestCalls
        && found->second.m_clients <= MostClients * found->second.m_calls;
}

} // namespace fescuepond
