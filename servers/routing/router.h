// Routing: which target a call goes to, and when a call that was not run may go to another one.

#pragma once

#include "core/values/call.h"
#include "core/values/member.h"
#include "servers/routing/targetload.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace fescuepond
{

/// A target of the called service, as the caller's node knows it.
class RouteCandidate
{
    FESCUEPOND_FIELD(Member, target, withTarget);
    FESCUEPOND_FIELD(TargetLoad, load, withLoad);

public:
    friend auto operator<=>(const RouteCandidate &, const RouteCandidate &) = default;
};

using RouteCandidates = std::vector<RouteCandidate>;

/// Where the calling node is.
class RouteOrigin
{
    FESCUEPOND_FIELD(std::string, zone, withZone);
    FESCUEPOND_FIELD(std::string, region, withRegion);

public:
    friend auto operator<=>(const RouteOrigin &, const RouteOrigin &) = default;
};

/// Chooses a target, or nothing when there is none.
///
/// Of two random targets of the caller's availability zone the less utilised one is taken. As the zone's targets fill,
/// two of the rest of the region and then two of other regions are looked at too. Targets that are ejected or suspect
/// are used only while too few others are left.
std::optional<Member>
chooseTarget(const RouteCandidates &candidates, const RouteOrigin &origin, TimePoint now, std::uint64_t random);

/// Leaves out the target where an earlier attempt failed, unless it is the only one.
RouteCandidates withoutFailedTarget(RouteCandidates candidates, const Incarnation &failed);

/// Most times that one call moves on to another target.
constexpr int MaxTransparentRetries = 2;

/// Whether a call that ended so at one target may be given to another without counting as a retry: it is proved that it
/// was not run, for a reason that lies in the target and not in the load, and there is time left.
bool canRetryTransparently(const CallOutcome &outcome, int transparentRetries, TimePoint deadline, TimePoint now);

} // namespace fescuepond
