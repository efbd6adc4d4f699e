// The gossip protocol, after SWIM: keeps the views of all nodes in step and detects failed members.
//
// Each node probes one random member a second, first directly, then through other members. A member that answers
// neither becomes suspect, and is declared dead unless it refutes that within a time-out. Changed records are
// piggybacked on probes, each a bounded number of times. Changes that are lost nevertheless are repaired by
// anti-entropy: a node regularly compares digests by zone with a random member and exchanges the records that differ.
//
// All functions are decisions over values; the caller sends the messages and passes in the time.

#pragma once

#include "servers/membership/memberview.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fescuepond
{

/// A digest of the records of all members of one zone that are not dead.
class ZoneDigest
{
    FESCUEPOND_FIELD(std::string, zone, withZone);
    FESCUEPOND_FIELD(std::uint64_t, digest, withDigest);

public:
    friend auto operator<=>(const ZoneDigest &, const ZoneDigest &) = default;
};

/// The fields of a record that decide its precedence, without the incarnation.
class RecordVersion
{
    FESCUEPOND_FIELD(std::string, name, withName);
    FESCUEPOND_FIELD(std::uint64_t, startedAtMs, withStartedAtMs);
    FESCUEPOND_FIELD(std::uint64_t, sequence, withSequence);
    FESCUEPOND_FIELD(MemberState, state, withState);

public:
    friend auto operator<=>(const RecordVersion &, const RecordVersion &) = default;
};

using ZoneDigests = std::vector<ZoneDigest>;
using RecordVersions = std::vector<RecordVersion>;

enum class GossipKind {
    Probe, ///< Checks that the receiver answers.
    IndirectProbe, ///< Asks the receiver to probe `address` on behalf of the sender.
    DigestSync, ///< Sends digests by zone; the reply has the record versions of all zones whose digests differ.
    RecordSync, ///< Sends newer records; the reply has the records that `wanted` names.
};

class GossipRequest
{
    FESCUEPOND_FIELD(GossipKind, kind, withKind);
    FESCUEPOND_FIELD(Member, sender, withSender); ///< The sender's own record.
    FESCUEPOND_FIELD(Members, records, withRecords);
    FESCUEPOND_FIELD(std::string, address, withAddress);
    FESCUEPOND_FIELD(ZoneDigests, digests, withDigests);
    FESCUEPOND_FIELD(NameSet, wanted, withWanted); ///< Names: of records wanted, or of the member to probe.

public:
    friend auto operator<=>(const GossipRequest &, const GossipRequest &) = default;
};

class GossipReply
{
    FESCUEPOND_FIELD(Member, sender, withSender);
    FESCUEPOND_FIELD(Members, records, withRecords);
    FESCUEPOND_FIELD(bool, isReachable, withIsReachable); ///< Reply to IndirectProbe: the member answered.
    FESCUEPOND_FIELD(RecordVersions, recordVersions, withRecordVersions);
    FESCUEPOND_FIELD(NameSet, differingZones, withDifferingZones);

public:
    friend auto operator<=>(const GossipReply &, const GossipReply &) = default;
};

/// The view after a decision, and the message to send.
template<typename Message>
struct GossipStep {
    MemberView view;
    Message message;
};

/// Merges records by precedence. A small batch carries new changes, which this node gossips too; a batch larger than a
/// message piggybacks comes from a sync, and others have its records already. A record of this node itself is never
/// taken over but refuted by a higher sequence.
MemberView mergeRecords(MemberView view, const Members &records, TimePoint now);

/// A random member to probe. Dead members are probed now and then, since they may only have been partitioned.
std::optional<Member> chooseProbeTarget(const MemberView &view, std::uint64_t random);
/// Up to `count` random alive members other than `excluded`.
Members
chooseAliveMembers(const MemberView &view, const std::string &excluded, std::size_t count, std::uint64_t random);
/// A random alive member for an anti-entropy sync; now and then one of this node's zone.
std::optional<Member> chooseSyncPeer(const MemberView &view, std::uint64_t random);

/// A probe of `receiver` with piggybacked records.
GossipStep<GossipRequest> makeProbe(MemberView view, const std::string &receiver);
/// Merges a request and makes the reply. For an IndirectProbe the caller runs the probe and sets `isReachable`, which
/// is false in the reply made here.
GossipStep<GossipReply> answerRequest(MemberView view, const GossipRequest &request, TimePoint now);
/// Merges the reply to a request of any kind.
MemberView mergeReply(MemberView view, const GossipReply &reply, TimePoint now);

GossipRequest makeDigestSync(const MemberView &view);
/// The second request of a sync, after the reply to the digests; empty if neither side lacks a record.
std::optional<GossipRequest> makeRecordSync(const MemberView &view, const GossipReply &digestReply);

/// Records that a direct probe and all indirect ones failed. Call only if an indirect prober replied, which shows that
/// this node itself is connected, or if there was none to ask. Marks an alive member suspect, unless its zone is
/// unreachable, and a leaving one dead.
MemberView recordProbeFailure(MemberView view, const Member &probed, TimePoint now);
/// Declares suspects dead after the suspicion time-out, provided that other members of their zone were in contact
/// meanwhile: members of a partitioned zone are kept. Removes members that have been dead for long.
MemberView expireMembers(MemberView view, TimePoint now);
/// How long a suspect has to refute the suspicion in a fleet of `size` members.
Duration suspicionTimeout(std::size_t size);

ZoneDigests digestsOf(const MemberView &view);

} // namespace fescuepond
