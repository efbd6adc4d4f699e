// The object by which a node is found at the platform: when to write the own one, and who removes that of a dead node.

#pragma once

#include "core/pipeline/interfaces.h"
#include "servers/membership/memberview.h"

#include <optional>
#include <string>

namespace fescuepond
{

/// What to do with the own object after reading it.
enum class AnnounceAction {
    None, ///< It stands as it should.
    Write, ///< Write at the version that was read.
    RetryLater, ///< The platform did not answer.
    Superseded, ///< A later life of this node has written it.
};

class AnnounceDecision
{
    FESCUEPOND_FIELD(AnnounceAction, action, withAction);
    FESCUEPOND_FIELD(ObjectVersion, expected, withExpected); ///< Version at which the write is made; 0: no object.

public:
    friend auto operator<=>(const AnnounceDecision &, const AnnounceDecision &) = default;
};

/// Decides after a read of the own object. `found` is what stands there; nothing when it is not a record.
AnnounceDecision
decideAnnouncement(const Member &self, StoreStatus status, ObjectVersion version, const std::optional<Member> &found);

/// The pause before the next try after `failures` in a row, spread by `random` so that nodes don't try together.
Duration announceRetryDelay(int failures, std::uint64_t random);

/// Dead members whose objects this node is to remove: for each, one living member is chosen by hash, so that the others
/// leave it alone, and another takes over when that one fails.
Members staleObjectsFor(const MemberView &view, TimePoint now);

/// Whether the object that stands at the platform is still that of the dead life.
bool isStale(const Member &dead, const std::optional<Member> &found);

} // namespace fescuepond
