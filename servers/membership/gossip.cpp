// The gossip protocol.

#include "servers/membership/gossip.h"

#include "servers/membership/memberrecord.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <tuple>

namespace fescuepond
{

namespace
{

/// Records piggybacked on one message, at most.
constexpr std::size_t MaxPiggybackedRecords = 16;
/// Records sent each way in one sync, at most.
constexpr std::size_t MaxSyncRecords = 256;
/// If both live and dead members are known, one probe in 16 goes to a dead one, so that a healed partition is noticed.
constexpr std::uint64_t DeadProbePeriod = 16;
/// One sync in 4 is with a member of this node's zone.
constexpr std::uint64_t OwnZoneSyncPeriod = 4;
/// Suspicion time-out per decimal digit of the fleet size.
constexpr Duration SuspicionTimeoutPerDigit = std::chrono::seconds(4);
/// How long the record of a dead member is kept, so that an older record of it can't bring it back as alive.
constexpr Duration DeadRetention = std::chrono::hours(1);
/// How long a suspect member of an unreachable zone is kept before it is declared dead after all.
constexpr Duration MaxUnreachableTime = std::chrono::hours(24);
/// How long after its start a node may still receive records of its previous incarnation.
constexpr Duration StartupWindow = std::chrono::minutes(1);
constexpr unsigned HalfWordBits = 32;

template<typename T>
const T &pick(const std::vector<T> &values, std::uint64_t random)
{
    return values[random % values.size()];
}

bool isSuspectOrDead(const Member &member)
{
    return member.state() == MemberState::Suspect || member.state() == MemberState::Dead;
}

/// This node's own record after another node sent `claimed` as the record of this node.
Member refuted(const MemberView &view, const Member &claimed, TimePoint now)
{
    const Member &self = view.self();
    if (!overrides(claimed, self)) {
        return self;
    }
    if (isSameIncarnation(self, claimed)) {
        return self.withSequence(claimed.sequence() + 1);
    }
    // Within the start-up window, a record with a later start is taken to be from a previous incarnation whose clock
    // was ahead, and is overridden. After it, such a record is from a newer incarnation and must not be overridden.
    const bool hasJustStarted = now - view.startedAt() < StartupWindow;
    return hasJustStarted ? self.withStartedAtMs(claimed.startedAtMs() + 1) : self;
}

RecordVersion versionOf(const Member &member)
{
    return RecordVersion()
        .withName(member.name())
        .withStartedAtMs(member.startedAtMs())
        .withSequence(member.sequence())
        .withState(member.state());
}

auto precedenceOf(const RecordVersion &version)
{
    return std::tuple(version.startedAtMs(), version.sequence(), version.state());
}

/// Names of records that still have retransmissions left, the least transmitted first.
std::vector<std::string> pendingNames(const MemberView &view)
{
    std::vector<std::pair<int, std::string>> pending;
    for (const auto &[name, entry] : view.entries()) {
        if (entry.retransmissionsLeft() > 0) {
            pending.emplace_back(-entry.retransmissionsLeft(), name);
        }
    }
    std::sort(pending.begin(), pending.end());
    std::vector<std::string> names;
    names.reserve(pending.size());
    for (const auto &[order, name] : pending) {
        names.push_back(name);
    }
    return names;
}

/// Takes the records to piggyback on a message to `receiver`. If this node has the receiver as suspect or dead, that
/// record is always included, so that the receiver can refute it.
GossipStep<Members> takePiggybackedRecords(MemberView view, const std::string &receiver)
{
    Members records;
    const Member *known = view.find(receiver);
    if (known != nullptr && receiver != view.self().name() && isSuspectOrDead(*known)) {
        records.push_back(*known);
    }
    for (const std::string &name : pendingNames(view)) {
        if (records.size() >= MaxPiggybackedRecords) {
            break;
        }
        if (name == receiver) {
            continue;
        }
        records.push_back(*view.find(name));
        view = std::move(view).withTransmission(name);
    }
    return {std::move(view), std::move(records)};
}

/// Whether a suspect failed on its own: its zone is not unreachable, and another member of the zone was in contact
/// since the suspicion began, or the zone has no other member.
bool isIndividualFailure(const MemberView &view, const MemberEntry &suspect)
{
    const std::string &zone = suspect.member().zone();
    if (isZoneUnreachable(view, zone)) {
        return false;
    }
    const Members others = view.others();
    const bool hasOthers = std::any_of(others.begin(), others.end(), [&](const Member &other) {
        return other.zone() == zone && other.name() != suspect.member().name();
    });
    return !hasOthers || view.hasContact(zone, suspect.changedAt());
}

/// Zones that only one side has, or whose digests differ.
NameSet differingZones(const ZoneDigests &ours, const ZoneDigests &theirs)
{
    const auto addMissing = [](const ZoneDigests &from, const ZoneDigests &in, NameSet &zones) {
        for (const ZoneDigest &digest : from) {
            if (std::find(in.begin(), in.end(), digest) == in.end()) {
                zones.insert(digest.zone());
            }
        }
    };
    NameSet zones;
    addMissing(ours, theirs, zones);
    addMissing(theirs, ours, zones);
    return zones;
}

using Answer = GossipStep<GossipReply> (*)(MemberView, const GossipRequest &);

GossipStep<GossipReply> answerProbe(MemberView view, const GossipRequest &request)
{
    auto step = takePiggybackedRecords(std::move(view), request.sender().name());
    return {std::move(step.view), GossipReply().withRecords(std::move(step.message))};
}

GossipStep<GossipReply> answerDigestSync(MemberView view, const GossipRequest &request)
{
    NameSet differing = differingZones(digestsOf(view), request.digests());
    RecordVersions recordVersions;
    for (const Member &member : view.all()) {
        if (differing.contains(member.zone())) {
            recordVersions.push_back(versionOf(member));
        }
    }
    return {std::move(view),
            GossipReply().withDifferingZones(std::move(differing)).withRecordVersions(std::move(recordVersions))};
}

GossipStep<GossipReply> answerRecordSync(MemberView view, const GossipRequest &request)
{
    Members records;
    for (const std::string &name : request.wanted()) {
        const Member *member = view.find(name);
        if (member != nullptr && records.size() < MaxSyncRecords) {
            records.push_back(*member);
        }
    }
    return {std::move(view), GossipReply().withRecords(std::move(records))};
}

} // namespace

MemberView mergeRecords(MemberView view, const Members &records, TimePoint now)
{
    const bool isGossiped = records.size() <= MaxPiggybackedRecords;
    for (const Member &record : records) {
        if (record.name() == view.self().name()) {
            Member self = refuted(view, record, now);
            view = std::move(view).withSelf(std::move(self));
            continue;
        }
        const Member *known = view.find(record.name());
        const bool isNewer = known == nullptr ? record.state() != MemberState::Dead : overrides(record, *known);
        if (isNewer) {
            view = std::move(view).withRecord(record, now, isGossiped);
        }
        view = std::move(view).withConfigurationVersion(record);
    }
    return view;
}

std::optional<Member> chooseProbeTarget(const MemberView &view, std::uint64_t random)
{
    std::vector<const Member *> living;
    std::vector<const Member *> dead;
    for (const auto &[name, entry] : view.entries()) {
        (entry.member().state() == MemberState::Dead ? dead : living).push_back(&entry.member());
    }
    const std::uint64_t high = random >> HalfWordBits;
    const bool probesDead = !dead.empty() && (living.empty() || random % DeadProbePeriod == 0);
    if (probesDead) {
        return *pick(dead, high);
    }
    return living.empty() ? std::nullopt : std::optional(*pick(living, high));
}

Members chooseAliveMembers(const MemberView &view, const std::string &excluded, std::size_t count, std::uint64_t random)
{
    Members candidates;
    for (const auto &[name, entry] : view.entries()) {
        if (entry.member().state() == MemberState::Alive && name != excluded) {
            candidates.push_back(entry.member());
        }
    }
    const std::uint64_t salt = random;
    std::sort(candidates.begin(), candidates.end(), [salt](const Member &a, const Member &b) {
        return (nameHash(a.name()) * (salt | 1)) < (nameHash(b.name()) * (salt | 1));
    });
    candidates.resize(std::min(candidates.size(), count));
    return candidates;
}

std::optional<Member> chooseSyncPeer(const MemberView &view, std::uint64_t random)
{
    std::vector<const Member *> all;
    std::vector<const Member *> ownZone;
    for (const auto &[name, entry] : view.entries()) {
        if (entry.member().state() != MemberState::Alive) {
            continue;
        }
        all.push_back(&entry.member());
        if (entry.member().zone() == view.self().zone()) {
            ownZone.push_back(&entry.member());
        }
    }
    const std::uint64_t high = random >> HalfWordBits;
    if (!ownZone.empty() && random % OwnZoneSyncPeriod == 0) {
        return *pick(ownZone, high);
    }
    return all.empty() ? std::nullopt : std::optional(*pick(all, high));
}

GossipStep<GossipRequest> makeProbe(MemberView view, const std::string &receiver)
{
    auto step = takePiggybackedRecords(std::move(view), receiver);
    auto request =
        GossipRequest().withKind(GossipKind::Probe).withSender(step.view.self()).withRecords(std::move(step.message));
    return {std::move(step.view), std::move(request)};
}

GossipStep<GossipReply> answerRequest(MemberView view, const GossipRequest &request, TimePoint now)
{
    static constexpr std::array<Answer, 4> Answers = {answerProbe, answerProbe, answerDigestSync, answerRecordSync};
    view = mergeRecords(std::move(view), request.records(), now);
    view = mergeRecords(std::move(view), {request.sender()}, now);
    view = std::move(view).withContact(request.sender().zone(), now);
    auto step = Answers.at(static_cast<std::size_t>(request.kind()))(std::move(view), request);
    step.message = step.message.withSender(step.view.self());
    return step;
}

MemberView mergeReply(MemberView view, const GossipReply &reply, TimePoint now)
{
    view = mergeRecords(std::move(view), reply.records(), now);
    view = mergeRecords(std::move(view), {reply.sender()}, now);
    return std::move(view).withContact(reply.sender().zone(), now);
}

GossipRequest makeDigestSync(const MemberView &view)
{
    return GossipRequest().withKind(GossipKind::DigestSync).withSender(view.self()).withDigests(digestsOf(view));
}

std::optional<GossipRequest> makeRecordSync(const MemberView &view, const GossipReply &digestReply)
{
    std::map<std::string, RecordVersion> theirs;
    for (const RecordVersion &version : digestReply.recordVersions()) {
        theirs.emplace(version.name(), version);
    }
    Members records;
    for (const Member &member : view.all()) {
        if (!digestReply.differingZones().contains(member.zone()) || records.size() >= MaxSyncRecords) {
            continue;
        }
        const auto found = theirs.find(member.name());
        if (found == theirs.end() || precedenceOf(versionOf(member)) > precedenceOf(found->second)) {
            records.push_back(member);
        }
    }
    NameSet wanted;
    for (const auto &[name, version] : theirs) {
        const Member *member = view.find(name);
        const bool isNewer = member == nullptr ? version.state() != MemberState::Dead
                                               : precedenceOf(version) > precedenceOf(versionOf(*member));
        if (isNewer && wanted.size() < MaxSyncRecords) {
            wanted.insert(name);
        }
    }
    if (records.empty() && wanted.empty()) {
        return std::nullopt;
    }
    return GossipRequest()
        .withKind(GossipKind::RecordSync)
        .withSender(view.self())
        .withRecords(std::move(records))
        .withWanted(std::move(wanted));
}

MemberView recordProbeFailure(MemberView view, const Member &probed, TimePoint now)
{
    const Member *known = view.find(probed.name());
    const bool isCurrent =
        known != nullptr && isSameIncarnation(*known, probed) && known->sequence() == probed.sequence();
    if (!isCurrent) {
        return view;
    }
    // Members of an unreachable zone are not marked suspect one by one: all these records would have to be refuted once
    // the zone is back.
    if (known->state() == MemberState::Alive && !isZoneUnreachable(view, known->zone())) {
        return std::move(view).withRecord(known->withState(MemberState::Suspect), now);
    }
    // A leaving member that no longer answers has stopped.
    if (known->state() == MemberState::Leaving) {
        return std::move(view).withRecord(known->withState(MemberState::Dead), now);
    }
    return view;
}

MemberView expireMembers(MemberView view, TimePoint now)
{
    const Duration suspicion = suspicionTimeout(view.size());
    Members overdue;
    NameSet expired;
    for (const auto &[name, entry] : view.entries()) {
        const Duration age = now - entry.changedAt();
        if (entry.member().state() == MemberState::Suspect && age >= suspicion) {
            overdue.push_back(entry.member());
        }
        if (entry.member().state() == MemberState::Dead && age >= DeadRetention) {
            expired.insert(name);
        }
    }
    for (const Member &suspect : overdue) {
        const MemberEntry &entry = view.entries().at(suspect.name());
        if (now - entry.changedAt() >= MaxUnreachableTime || isIndividualFailure(view, entry)) {
            view = std::move(view).withRecord(suspect.withState(MemberState::Dead), now);
        }
    }
    for (const std::string &name : expired) {
        view = std::move(view).withoutMember(name);
    }
    return view;
}

Duration suspicionTimeout(std::size_t size)
{
    const double digits = std::max(1.0, std::log10(static_cast<double>(size)));
    return std::chrono::duration_cast<Duration>(SuspicionTimeoutPerDigit * digits);
}

ZoneDigests digestsOf(const MemberView &view)
{
    std::map<std::string, std::uint64_t> digests;
    for (const Member &member : view.all()) {
        if (member.state() != MemberState::Dead) {
            digests[member.zone()] ^= recordHash(member);
        }
    }
    ZoneDigests result;
    for (const auto &[zone, digest] : digests) {
        result.push_back(ZoneDigest().withZone(zone).withDigest(digest));
    }
    return result;
}

} // namespace fescuepond
