// Members of the fleet: what a node says of itself to all others.

#pragma once

#include "core/value.h"
#include "core/values/id.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace fescuepond
{

/// In the order in which a later state overrides an earlier one of the same incarnation and sequence.
enum class MemberState {
    Alive,
    Suspect,
    Leaving, ///< Takes no new work; finishes what it has.
    Dead,
};

/// One node's record. Records of one node are ordered by start time, incarnation and sequence; the greatest one holds.
class Member
{
    FESCUEPOND_FIELD(std::string, name, withName);
    FESCUEPOND_FIELD(std::uint64_t, startedAtMs, withStartedAtMs); ///< Wall clock, when the incarnation began.
    FESCUEPOND_FIELD(Incarnation, incarnation, withIncarnation);
    FESCUEPOND_FIELD(std::uint64_t, sequence, withSequence); ///< Raised by the node itself with each change.
    FESCUEPOND_FIELD(MemberState, state, withState);
    FESCUEPOND_FIELD(std::string, service, withService);
    FESCUEPOND_FIELD(std::string, zone, withZone);
    FESCUEPOND_FIELD(std::string, region, withRegion);
    FESCUEPOND_FIELD(std::string, peerAddress, withPeerAddress);
    FESCUEPOND_FIELD(std::uint64_t, configurationVersion, withConfigurationVersion);
    FESCUEPOND_FIELD(bool, isServing, withIsServing); ///< Its backend server takes work.
    FESCUEPOND_FIELD(std::uint32_t, slots, withSlots); ///< Calls that its backend server runs at once; 0: unsaid.

public:
    friend auto operator<=>(const Member &, const Member &) = default;
};

using Members = std::vector<Member>;

const char *toString(MemberState state);

} // namespace fescuepond
