// Routing: chooses the target of a call and decides on transparent retries.

#include "servers/routing/router.h"

#include "core/kernel/invariant.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <limits>

namespace fescuepond
{

namespace
{

/// Above this utilisation of the best target so far, targets one step further away are considered.
constexpr double SpillUtilisation = 0.8;
/// Utilisation that is added to a target for each step of distance when targets are compared.
constexpr double DistanceCost = 0.1;
constexpr unsigned HalfWordBits = 32;
/// Multiplier that derives fresh random bits for each distance.
constexpr std::uint64_t TierMix = 0x9E3779B97F4A7C15ULL;

/// Distance of a target from the calling node.
enum Distance {
    OwnZone,
    OwnRegion,
    OtherRegion
};

Distance distanceTo(const Member &target, const RouteOrigin &origin)
{
    if (target.zone() == origin.zone()) {
        return OwnZone;
    }
    return target.region() == origin.region() ? OwnRegion : OtherRegion;
}

bool acceptsWork(const Member &member)
{
    return member.state() == MemberState::Alive || member.state() == MemberState::Suspect;
}

using CandidateRefs = std::vector<const RouteCandidate *>;

/// The candidates that are alive, or all of them if none is.
CandidateRefs withoutSuspects(const RouteCandidates &candidates)
{
    CandidateRefs alive;
    alive.reserve(candidates.size());
    for (const RouteCandidate &candidate : candidates) {
        if (candidate.target().state() == MemberState::Alive) {
            alive.push_back(&candidate);
        }
    }
    if (alive.empty()) {
        std::transform(
            candidates.begin(), candidates.end(), std::back_inserter(alive), [](const RouteCandidate &candidate) {
                return &candidate;
            });
    }
    return alive;
}

/// Removes ejected candidates, but at most half of all: if most of them seem to fail, the fault is likely elsewhere.
/// Keeps those whose ejection ends first.
CandidateRefs withoutEjected(CandidateRefs candidates, TimePoint now)
{
    const bool hasEjected = std::any_of(candidates.begin(), candidates.end(), [&](const RouteCandidate *candidate) {
        return isEjected(candidate->load(), now);
    });
    if (!hasEjected) {
        return candidates;
    }
    std::stable_sort(candidates.begin(), candidates.end(), [&](const RouteCandidate *a, const RouteCandidate *b) {
        return std::max(a->load().ejectedUntil(), now) < std::max(b->load().ejectedUntil(), now);
    });
    const std::size_t kept = (candidates.size() + 1) / 2;
    while (candidates.size() > kept && isEjected(candidates.back()->load(), now)) {
        candidates.pop_back();
    }
    return candidates;
}

/// Compares candidates by their utilisation, with a penalty for a higher failure ratio than that of the best one.
class UtilisationComparison
{
public:
    UtilisationComparison(const CandidateRefs &candidates, TimePoint now)
        : m_now(now)
    {
        for (const RouteCandidate *candidate : candidates) {
            m_minFailureRatio = std::min(m_minFailureRatio, failureRatioAt(candidate->load(), now));
        }
    }
    double utilisationOf(const RouteCandidate &candidate) const
    {
        return penalisedUtilisation(candidate.load(), m_minFailureRatio, m_now);
    }

private:
    const TimePoint m_now;
    double m_minFailureRatio = 1;
};

/// Draws a random candidate and removes it. One that has named a rate is drawn less often than the others, in
/// proportion to what it takes.
const RouteCandidate *draw(CandidateRefs &tier, TimePoint now, std::uint32_t random)
{
    double highestLimit = 0;
    for (const RouteCandidate *candidate : tier) {
        highestLimit = std::max(highestLimit, limitAt(candidate->load(), now));
    }
    const auto weightOf = [&](const RouteCandidate *candidate) {
        return candidate->load().hasNamedRate() ? limitAt(candidate->load(), now) / highestLimit : 1;
    };
    double total = 0;
    for (const RouteCandidate *candidate : tier) {
        total += weightOf(candidate);
    }
    double position = total * random / (static_cast<double>(std::numeric_limits<std::uint32_t>::max()) + 1);
    auto drawn = tier.begin();
    while (std::next(drawn) != tier.end() && position >= weightOf(*drawn)) {
        position -= weightOf(*drawn);
        ++drawn;
    }
    const RouteCandidate *candidate = *drawn;
    tier.erase(drawn);
    return candidate;
}

/// The less utilised of two random candidates; null if there is none.
const RouteCandidate *
chooseOfTwo(CandidateRefs tier, const UtilisationComparison &comparison, TimePoint now, std::uint64_t random)
{
    if (tier.empty()) {
        return nullptr;
    }
    const RouteCandidate *first = draw(tier, now, static_cast<std::uint32_t>(random));
    if (tier.empty()) {
        return first;
    }
    const RouteCandidate *second = draw(tier, now, static_cast<std::uint32_t>(random >> HalfWordBits));
    return comparison.utilisationOf(*first) <= comparison.utilisationOf(*second) ? first : second;
}

} // namespace

const RouteCandidate *
chooseTarget(const RouteCandidates &candidates, const RouteOrigin &origin, TimePoint now, std::uint64_t random)
{
    const CandidateRefs usable = withoutEjected(withoutSuspects(candidates), now);
    std::array<CandidateRefs, OtherRegion + 1> tiers;
    for (CandidateRefs &tier : tiers) {
        tier.reserve(usable.size());
    }
    for (const RouteCandidate *candidate : usable) {
        invariant(acceptsWork(candidate->target()), "a member that leaves or is dead gets no call");
        tiers.at(distanceTo(candidate->target(), origin)).push_back(candidate);
    }
    const UtilisationComparison comparison(usable, now);
    const RouteCandidate *best = nullptr;
    double bestCost = 0;
    for (std::size_t distance = OwnZone; distance <= OtherRegion; ++distance) {
        random *= TierMix;
        random ^= random >> HalfWordBits;
        const RouteCandidate *candidate = chooseOfTwo(tiers.at(distance), comparison, now, random);
        if (candidate == nullptr) {
            continue;
        }
        const double cost = comparison.utilisationOf(*candidate) + DistanceCost * static_cast<double>(distance);
        if (best == nullptr || cost < bestCost) {
            best = candidate;
            bestCost = cost;
        }
        if (comparison.utilisationOf(*best) <= SpillUtilisation) {
            break;
        }
    }
    return best;
}

RouteCandidates withoutFailedTarget(RouteCandidates candidates, const Incarnation &failed)
{
    const auto isFailed = [&](const RouteCandidate &candidate) {
        return candidate.target().incarnation() == failed;
    };
    if (!std::all_of(candidates.begin(), candidates.end(), isFailed)) {
        std::erase_if(candidates, isFailed);
    }
    return candidates;
}

bool canRetryTransparently(const CallOutcome &outcome, int transparentRetries, TimePoint deadline, TimePoint now)
{
    const bool isCausedByTarget = outcome.reason() == Reason::Leaving || outcome.reason() == Reason::ConnectionLost
        || outcome.reason() == Reason::BackendUnreachable;
    return outcome.state() == CallState::NotRun && isCausedByTarget && transparentRetries < MaxTransparentRetries
        && now < deadline;
}

} // namespace fescuepond
