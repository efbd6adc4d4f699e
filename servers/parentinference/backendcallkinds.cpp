// Counts by kind how the deadlines of calls lie to those of the calls that run.

#include "servers/parentinference/backendcallkinds.h"

namespace fescuepond
{

namespace
{
constexpr double MinCalls = 8; ///< Before that, a kind counts as the clients'.
/// Part of a kind's calls. Not none: a call whose parent was given up, or ran before this process started, looks like a
/// client's.
constexpr double MaxClientRatio = 0.1;
/// Part of a kind's calls. Those with a shorter limit of their own match only late in their parent's time.
constexpr double MinMatchRatio = 0.15;
/// Matches count as more than chance from so many times the expected.
constexpr double MinMatchesOverChance = 1.8;
constexpr double MaxCountedCalls = 512; ///< Calls, after which both counts are halved.
constexpr double DecayFactor = 0.5;
} // namespace

void BackendCallKinds::observeArrival(const std::string &kind, const DeadlineCorrelation &correlation)
{
    Counts &counts = m_kinds[kind];
    ++counts.m_calls;
    counts.m_clientCalls += correlation.canBeChild ? 0 : 1;
    counts.m_matches += correlation.isMatch ? 1 : 0;
    counts.m_expectedMatches += correlation.matchProbability;
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

} // namespace fescuepond
