// Registration of a node at the platform: decides when a node writes its own object, and which node deletes the object
// of a dead node. New nodes find the fleet by reading these objects.

#pragma once

#include "core/pipeline/interfaces.h"
#include "servers/membership/memberview.h"
#include "servers/membership/nodeobject.h"

#include <optional>
#include <string>

namespace fescuepond
{

/// What to do after reading this node's object at the platform.
enum class AnnounceAction {
    None, ///< The object is this incarnation's and holds what it has to: nothing to do.
    Write, ///< Write the object on condition of its last known revision.
    RetryLater, ///< The platform did not answer.
    Superseded, ///< A later incarnation of this node has written it: leave it alone.
};

/// Decides after a read of this node's object. `object` is what is known of it after the read; `found` is the record
/// read, empty if the object is missing or not a valid record.
AnnounceAction decideAnnouncement(const Member &self,
                                  StoreStatus status,
                                  const NodeObject &object,
                                  const std::optional<Member> &found);

/// Delay before the next attempt after `failures` consecutive failures. `random` adds jitter, so that nodes don't retry
/// at the same moment. Short until the departures of earlier processes are known, since the backend server waits for
/// it.
Duration announceRetryDelay(const NodeObject &object, int failures, std::uint64_t random);

/// Delay before this node checks its object after a restore of the store, so that not all nodes call it at once. A node
/// that has acknowledged departures doesn't wait: until the object holds them again, they are lost if it is killed.
Duration restoreCheckDelay(const NodeObject &object, std::uint64_t random);

/// Dead members whose objects this node deletes. One alive member is chosen by hash for each, so that not all nodes
/// try; if the chosen member fails, the choice moves to another.
Members staleObjectsFor(const MemberView &view, TimePoint now);

/// Whether the object found at the platform still belongs to the dead incarnation.
bool isStale(const Member &dead, const std::optional<Member> &found);

} // namespace fescuepond
