// Decides how a node follows the published configuration: who watches the platform, whom a node asks, and when a
// version that was seen elsewhere is pulled.
//
// The order of versions is the platform's. A node only ever goes to a greater version.

#pragma once

#include "core/kernel/clock.h"
#include "core/value.h"
#include "core/values/declaration.h"
#include "core/values/member.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fescuepond
{

/// Nodes of each zone that hold a watch on the platform.
constexpr std::size_t WatchersPerZone = 2;

/// Whether `self` is one of those alive members of its zone that watch the platform. All nodes that know the same
/// members choose the same ones; where they differ for a while, some more or fewer nodes watch.
bool isWatcher(const Members &members, const Member &self);

/// Picks up to `count` different addresses of other members that can answer. The seeds take part as long as fewer
/// than `count` members are known. `random` chooses.
std::vector<std::string> choosePeers(const Members &members,
                                     const Member &self,
                                     const std::vector<std::string> &seeds,
                                     std::size_t count,
                                     std::uint64_t random);

/// What one node knows of versions.
class FollowerState
{
    FESCUEPOND_FIELD(ObjectVersion, heldVersion, withHeldVersion); ///< In force here; never falls.
    FESCUEPOND_FIELD(ObjectVersion, pulledVersion, withPulledVersion); ///< Version asked of a peer; 0: none.
    FESCUEPOND_FIELD(TimePoint, pullDeadline, withPullDeadline); ///< The shouldPull counts as lost then.

public:
    friend auto operator<=>(const FollowerState &, const FollowerState &) = default;
};

/// A state, and whether to shouldPull the version that was seen.
class FollowerStep
{
    FESCUEPOND_FIELD(FollowerState, state, withState);
    FESCUEPOND_FIELD(bool, shouldPull, withShouldPull);

public:
    friend auto operator<=>(const FollowerStep &, const FollowerStep &) = default;
};

/// A peer was seen to hold `version`. It is pulled unless it is no news or is under way already.
FollowerStep observeVersion(const FollowerState &state, ObjectVersion version, TimePoint now);

/// A shouldPull of `version` ended, with or without an answer.
FollowerState finishPull(const FollowerState &state, ObjectVersion version);

/// A whole, valid version arrived. Nothing when it isn't newer than the one in force.
std::optional<FollowerState> advanceTo(const FollowerState &state, ObjectVersion version);

/// The pause before the next try after `failures` failures in a row: doubling, with jitter, so that a whole fleet
/// doesn't return at one moment. `random` chooses.
Duration retryDelay(unsigned failures, std::uint64_t random);

} // namespace fescuepond
