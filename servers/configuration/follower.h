// Decides how a node follows the published configuration: which nodes watch the platform, which peers a node asks, and
// when it pulls a version that a peer has.
//
// Versions are part of what the operator publishes. A node only ever moves to a greater version.

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

/// Nodes of each zone that watch the platform.
constexpr std::size_t WatchersPerZone = 2;

enum class WatcherRole {
    None,
    First, ///< Notices the loss of its connection in time. If it can't reach the platform, another node stands in.
    Standby, ///< Watches with the longest wait, and is the next first one.
};

/// The role of `self` among the alive members of its zone. Nodes with the same view of the members choose the same
/// watchers; while views differ, somewhat more or fewer nodes watch.
WatcherRole watcherRole(const Members &members, const Member &self);
bool isWatcher(const Members &members, const Member &self);

/// The longest wait of one watch. It also limits a watcher to six watches a minute.
constexpr Duration MaxWatchWait = std::chrono::seconds(10);
/// The shortest wait, whatever the bounds.
constexpr Duration MinWatchWait = std::chrono::milliseconds(500);
/// Time for a new version to reach the other nodes: two hops, one of them over a connection that has gone silent and is
/// replaced.
constexpr Duration SpreadTime = std::chrono::seconds(1);

/// The bounds that the operator has set for following the configuration.
class FollowBounds
{
    /// All nodes follow a change within this time.
    FESCUEPOND_FIELD(Duration, changeBound, withChangeBound);
    /// The change bound holds again this long after a disturbance, such as the loss of all connections, also for a
    /// change that was made meanwhile.
    FESCUEPOND_FIELD(Duration, recoveryTime, withRecoveryTime);
    FESCUEPOND_FIELD(Duration, callTimeout, withCallTimeout); ///< Of calls to the platform, beyond the wait of a watch.

public:
    friend auto operator<=>(const FollowBounds &, const FollowBounds &) = default;
};

/// The wait of a watch by the first watcher. A connection that goes silent just after the watch has begun is given up
/// after this wait and the call's time-out; the retry delay, the new watch and the spread of what it brings then end
/// within the recovery time or the change bound, whichever is longer.
Duration firstWatchWait(const FollowBounds &bounds);

/// Delay before the next watch after `failures` consecutive failures: that of retryDelay(), but the first watcher waits
/// no longer than lets a change be followed within the recovery time after the platform responds again.
Duration watchRetryDelay(unsigned failures, WatcherRole role, const FollowBounds &bounds, std::uint64_t random);

/// Chooses up to `count` distinct addresses of other members that are not dead. Seed peers are candidates too as long
/// as fewer than `count` members are known.
std::vector<std::string> choosePeers(const Members &members,
                                     const Member &self,
                                     const std::vector<std::string> &seeds,
                                     std::size_t count,
                                     std::uint64_t random);

/// The address of an alive member of the zone of `self` that isn't a watcher; empty if there is none.
std::string chooseStandIn(const Members &members, const Member &self, std::uint64_t random);

/// The version that a node has, and the one that it is pulling from a peer.
class FollowerState
{
    FESCUEPOND_FIELD(ConfigurationVersion, heldVersion, withHeldVersion); ///< In force on this node; never decreases.
    FESCUEPOND_FIELD(ConfigurationVersion, pulledVersion, withPulledVersion); ///< Requested from a peer; 0: none.
    FESCUEPOND_FIELD(TimePoint, pullDeadline, withPullDeadline); ///< When the pull times out.

public:
    friend auto operator<=>(const FollowerState &, const FollowerState &) = default;
};

/// The new state, and whether to pull the observed version.
class FollowerStep
{
    FESCUEPOND_FIELD(FollowerState, state, withState);
    FESCUEPOND_FIELD(bool, shouldPull, withShouldPull);

public:
    friend auto operator<=>(const FollowerStep &, const FollowerStep &) = default;
};

/// A peer has reported `version`. Pulls it if it is greater than the version in force and no pull of it is in flight.
FollowerStep observeVersion(const FollowerState &state, ConfigurationVersion version, TimePoint now);

/// A pull of `version` has completed, with or without an answer.
FollowerState finishPull(const FollowerState &state, ConfigurationVersion version);

/// The state after a complete, valid version arrived; empty if it isn't greater than the version in force.
std::optional<FollowerState> advanceTo(const FollowerState &state, ConfigurationVersion version);

/// Delay before the next attempt after `failures` consecutive failures: exponential back-off with jitter, so that the
/// nodes of a fleet don't retry at the same moment.
Duration retryDelay(unsigned failures, std::uint64_t random);

} // namespace fescuepond
