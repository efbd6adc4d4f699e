// Counts by kind how the deadlines of calls lie to those of the calls that run.

#include "servers/parentage/callerkinds.h"

namespace fescuepond
{

namespace
{
constexpr double FewestCalls = 8; ///< Before that, a kind counts as the clients'.
/// Part of a kind's calls. Not none: a call whose parent was given up, or ran before this process started, looks like a
/// client's.
constexpr double MostClients = 0.1;
/// Part of a kind's calls. Those with a shorter limit of their own match only late in their parent's time.
constexpr double LeastMatches = 0.15;
/// Matches count as more than chance from so many times the expected.
constexpr double ChanceFactor = 1.8;
constexpr double MostCounted = 512; ///< Calls, after which both counts are halved.
constexpr double ForgottenPart = 0.5;
} // namespace

void CallerKinds::arrived(const std::string &kind, const DeadlineTrace &trace)
{
    Counts &counts = m_kinds[kind];
    ++counts.m_calls;
    counts.m_clients += trace.mayBeChild ? 0 : 1;
    counts.m_matches += trace.isMatched ? 1 : 0;
    counts.m_expected += trace.chance;
    if (counts.m_calls >= MostCounted) {
        counts.m_calls *= ForgottenPart;
        counts.m_clients *= ForgottenPart;
        counts.m_matches *= ForgottenPart;
        counts.m_expected *= ForgottenPart;
    }
}

bool CallerKinds::isFromBackend(const std::string &kind) const
{
    const auto found = m_kinds.find(kind);
    if (found == m_kinds.end() || found->second.m_calls < FewestCalls) {
        return false;
    }
    const Counts &counts = found->second;
    return counts.m_clients <= MostClients * counts.m_calls && counts.m_matches >= LeastMatches * counts.m_calls
        && counts.m_matches >= ChanceFactor * counts.m_expected;
}

} // namespace fescuepond
