// Counts by kind how the deadlines of calls relate to those of the running calls.

#include "servers/parentinference/backendcallkinds.h"

namespace fescuepond
{

namespace
{
constexpr double MinCalls = 8; ///< With fewer calls, a kind is attributed to clients.
/// After a start of the node alone, the parents of the first calls that arrive may be unknown.
constexpr double MinCallsOfClients = 32;
/// Fraction of a kind's calls. Above 0: a call whose parent was cancelled, or started before this process, looks like a
/// client's.
constexpr double MaxClientRatio = 0.1;
/// Fraction of a kind's calls. Far below 1: calls with a shorter time limit of their own have their parent's deadline
/// only if less time than that is left to the parent.
constexpr double MinMatchRatio = 0.15;
/// Ratio of matches to those expected by chance, from which they count as significant.
constexpr double MinMatchesOverChance = 1.8;
constexpr double MaxCountedCalls = 512; ///< The counts of a kind decay when its calls reach this number.
constexpr double DecayFactor = 0.5;
} // namespace

void BackendCallKinds::observeArrival(const std::string &kind, const DeadlineCorrelation &correlation)
{
    Counts &counts = m_kinds[kind];
    ++counts.m_calls;
    counts.m_clientCalls += correlation.canBeChild ? 0 : 1;
    counts.m_matches += correlation.isMatch ? 1 : 0;
    counts.m_expectedMatches += correlation.coincidenceProbability;
    if (counts.m_calls >= MaxCountedCalls) {
        counts.m_calls *= DecayFactor;
        counts.m_clientCalls *= DecayFactor;
        counts.m_matches *= DecayFactor;
        counts.m_expectedMatches *= DecayFactor;
    }
}

bool BackendCallKinds::isFromBackend(const std::string &kind) const
{
    const auto found = m_kinds.find(kind);
    if (found == m_kinds.end() || found->second.m_calls < MinCalls) {
        return false;
    }
    const Counts &counts = found->second;
    return counts.m_clientCalls <= MaxClientRatio * counts.m_calls && counts.m_matches >= MinMatchRatio * counts.m_calls
        && counts.m_matches >= MinMatchesOverChance * counts.m_expectedMatches;
}

bool BackendCallKinds::isFromClients(const std::string &kind) const
{
    const auto found = m_kinds.find(kind);
    return found != m_kinds.end() && found->second.m_calls >= MinCallsOfClients
        && found->second.m_clientCalls > MaxClientRatio * found->second.m_calls;
}

} // namespace fescuepond
