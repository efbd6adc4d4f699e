// Members of the fleet: the record that a node publishes about itself to all others by gossip.

#pragma once

#include "core/value.h"
#include "core/values/id.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace fescuepond
{

/// In order of precedence: of two records with the same incarnation and sequence, the one with the later state wins.
enum class MemberState {
    Alive,
    Suspect,
    Leaving, ///< Is given no new work; finishes the work in flight.
    Dead,
};

/// One node's record. Records of one node are ordered by start time, incarnation and sequence; the greatest one wins.
class Member
{
    FESCUEPOND_FIELD(std::string, name, withName);
    FESCUEPOND_FIELD(std::uint64_t, startedAtMs, withStartedAtMs); ///< Wall-clock time of the incarnation's start.
    FESCUEPOND_FIELD(Incarnation, incarnation, withIncarnation);
    FESCUEPOND_FIELD(std::uint64_t, sequence, withSequence); ///< Incremented by the node itself with each change.
    FESCUEPOND_FIELD(MemberState, state, withState);
    FESCUEPOND_FIELD(std::string, service, withService);
    FESCUEPOND_FIELD(std::string, zone, withZone);
    FESCUEPOND_FIELD(std::string, region, withRegion);
    FESCUEPOND_FIELD(std::string, peerAddress, withPeerAddress);
    FESCUEPOND_FIELD(std::uint64_t, configurationVersion, withConfigurationVersion);
    FESCUEPOND_FIELD(bool, isServing, withIsServing); ///< Its backend server accepts calls.
    /// Maximum concurrent calls of its backend server; 0: not reported.
    FESCUEPOND_FIELD(std::uint32_t, slots, withSlots);

public:
    friend auto operator<=>(const Member &, const Member &) = default;
};

using Members = std::vector<Member>;

const char *toString(MemberState state);

} // namespace fescuepond
