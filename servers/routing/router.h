// Routing: chooses the target of a call, and decides on transparent retries: a call that was not run at one target is
// sent to another one.

#pragma once

#include "core/values/call.h"
#include "core/values/member.h"
#include "servers/routing/targetload.h"

#include <cstdint>
#include <vector>

namespace fescuepond
{

/// A target of the called service, with its load as this node knows it.
class RouteCandidate
{
    FESCUEPOND_SHARED_FIELD(Member, target, withTarget);
    FESCUEPOND_FIELD(TargetLoad, load, withLoad);

public:
    friend auto operator<=>(const RouteCandidate &, const RouteCandidate &) = default;
};

using RouteCandidates = std::vector<RouteCandidate>;

/// Location of the calling node.
class RouteOrigin
{
    FESCUEPOND_FIELD(std::string, zone, withZone);
    FESCUEPOND_FIELD(std::string, region, withRegion);

public:
    friend auto operator<=>(const RouteOrigin &, const RouteOrigin &) = default;
};

/// Chooses one of `candidates`; null if there is none. The cost of a choice hardly grows with their number: nothing of
/// them is copied.
///
/// Takes the less utilised of two random targets in the caller's availability zone (power of two choices). If that one
/// is nearly full, two targets in the rest of the region, and then two in other regions, are considered too. Ejected
/// and suspect targets are used only if too few others are left.
const RouteCandidate *
chooseTarget(const RouteCandidates &candidates, const RouteOrigin &origin, TimePoint now, std::uint64_t random);

/// Removes the target at which an earlier attempt failed, unless it is the only one.
RouteCandidates withoutFailedTarget(RouteCandidates candidates, const Incarnation &failed);

/// Maximum for each attempt that the retry stage sends.
constexpr int MaxTransparentRetries = 2;

/// Whether a call may be sent to another target after this outcome without counting as a retry: it certainly was not
/// run, because of the target's state and not of overload, and its deadline has not passed.
bool canRetryTransparently(const CallOutcome &outcome, int transparentRetries, TimePoint deadline, TimePoint now);

} // namespace fescuepond
