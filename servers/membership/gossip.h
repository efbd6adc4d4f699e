// The gossip protocol: how views of the fleet stay equal and how failed members are found.
//
// Each node probes one random member a second, directly and then through others. One that answers neither becomes
// suspect, and dead when it does not refute that in time. Changes ride on probes, each a bounded number of times; what
// they miss is repaired by comparing digests of zones with a random member now and then.
//
// All functions are decisions over values: the caller retransmissions the messages and gives the time.

#pragma once

#include "servers/membership/memberview.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fescuepond
{

/// A digest of all records of one zone that are not dead.
class ZoneDigest
{
    FESCUEPOND_FIELD(std::string, zone, withZone);
    FESCUEPOND_FIELD(std::uint64_t, digest, withDigest);

public:
    friend auto operator<=>(const ZoneDigest &, const ZoneDigest &) = default;
};

/// A record without what doesn't order it.
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
    Probe, ///< Shows that the receiver lives.
    IndirectProbe, ///< The receiver probes `address` for the sender.
    DigestSync, ///< The reply has the recordVersions of all zones whose digests differ.
    RecordSync, ///< The reply has the records that are wanted.
};

class GossipRequest
{
    FESCUEPOND_FIELD(GossipKind, kind, withKind);
    FESCUEPOND_FIELD(Member, sender, withSender); ///< The sender's own record.
    FESCUEPOND_FIELD(Members, records, withRecords);
    FESCUEPOND_FIELD(std::string, address, withAddress);
    FESCUEPOND_FIELD(ZoneDigests, digests, withDigests);
    FESCUEPOND_FIELD(NameSet, wanted, withWanted); ///< Names.

public:
    friend auto operator<=>(const GossipRequest &, const GossipRequest &) = default;
};

class GossipReply
{
    FESCUEPOND_FIELD(Member, sender, withSender);
    FESCUEPOND_FIELD(Members, records, withRecords);
    FESCUEPOND_FIELD(bool, isReachable, withIsReachable); ///< For IndirectProbe: the member answered.
    FESCUEPOND_FIELD(RecordVersions, recordVersions, withRecordVersions);
    FESCUEPOND_FIELD(NameSet, differingZones, withDifferingZones);

public:
    friend auto operator<=>(const GossipReply &, const GossipReply &) = default;
};

/// A view after a decision, and the message that the decision asks for.
template<typename Message>
struct GossipStep {
    MemberView view;
    Message message;
};

/// Merges records by their order. A few are news that this node spreads too; many are a state that others have as well.
/// What others say of this node is refuted with a higher sequence, never taken over.
MemberView mergeRecords(MemberView view, const Members &records, TimePoint now);

/// A member to probe. One that is dead is tried now and then, since it may only have been cut off.
std::optional<Member> chooseProbeTarget(const MemberView &view, std::uint64_t random);
/// Up to `count` other members that probe for this one, in no particular order.
Members chooseAliveMembers(const MemberView &view, const std::string &probed, std::size_t count, std::uint64_t random);
/// A member to compare with: mostly any, every fourth time one of the own zone.
std::optional<Member> chooseSyncPeer(const MemberView &view, std::uint64_t random);

/// A request to `receiver` with changes that ride on it.
GossipStep<GossipRequest> makeProbe(MemberView view, const std::string &receiver);
/// The reply to a request, and what the request told. IndirectProbe is answered as not isReachable.
GossipStep<GossipReply> answerRequest(MemberView view, const GossipRequest &request, TimePoint now);
/// Takes in the reply to any request.
MemberView mergeReply(MemberView view, const GossipReply &reply, TimePoint now);

GossipRequest makeDigestSync(const MemberView &view);
/// The request that follows the reply to a comparison, or nothing when both know the same.
std::optional<GossipRequest> makeRecordSync(const MemberView &view, const GossipReply &digestReply);

/// Neither the member nor a prober's probe of it answered, while some prober did: this node is not itself cut off.
MemberView recordProbeFailure(MemberView view, const Member &probed, TimePoint now);
/// Declares suspects dead whose time is over, if others of their zone were isReachable meanwhile: a zone that is cut
/// off is never declared dead. Forgets those long dead.
MemberView expireMembers(MemberView view, TimePoint now);
/// The time that a suspect has for its refutation in a fleet of `size` members.
Duration suspicionTimeout(std::size_t size);

ZoneDigests digestsOf(const MemberView &view);

} // namespace fescuepond
