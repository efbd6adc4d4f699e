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

/// Most records that ride on one message.
constexpr std::size_t PiggybackLimit = 16;
/// Most records in one exchange, each way.
constexpr std::size_t ExchangeLimit = 256;
/// One probe in so many goes to a dead member.
constexpr std::uint64_t DeadProbePeriod = 16;
/// One comparison in so many is with a member of the own zone.
constexpr std::uint64_t OwnZonePeriod = 4;
/// Time for a refutation, for each decimal digit of the fleet's size.
constexpr Duration SuspicionPerDigit = std::chrono::seconds(4);
/// A dead member is remembered so long, so that no old record brings it back.
constexpr Duration DeadMemory = std::chrono::hours(1);
/// A member of an unreachable zone is kept so long.
constexpr Duration UnreachableMemory = std::chrono::hours(24);
/// In which a node that starts meets the records of its earlier life.
constexpr Duration YoungTime = std::chrono::minutes(1);
constexpr unsigned HalfWordBits = 32;

template<typename T>
const T &pick(const std::vector<T> &values, std::uint64_t random)
{
    return values[random % values.size()];
}

bool isDoubted(const Member &member)
{
    return member.state() == MemberState::Suspect || member.state() == MemberState::Dead;
}

/// The own record after what another node said of it.
Member refuted(const MemberView &view, const Member &said, TimePoint now)
{
    const Member &self = view.self();
    if (!overrides(said, self)) {
        return self;
    }
    if (isSameLife(self, said)) {
        return self.withSequence(said.sequence() + 1);
    }
    // An earlier life whose clock was ahead of this one's. A node that has run for long is the earlier life itself.
    const bool hasJustStarted = now - view.startedAt() < YoungTime;
    return hasJustStarted ? self.withStartedAtMs(said.startedAtMs() + 1) : self;
}

RecordHead headOf(const Member &member)
{
    return RecordHead()
        .withName(member.name())
        .withStartedAtMs(member.startedAtMs())
        .withSequence(member.sequence())
        .withState(member.state());
}

auto orderOf(const RecordHead &head)
{
    return std::tuple(head.startedAtMs(), head.sequence(), head.state());
}

/// Names of entries that still have sends left, the least sent first.
std::vector<std::string> unsentNames(const MemberView &view)
{
    std::vector<std::pair<int, std::string>> unsent;
    for (const auto &[name, entry] : view.entries()) {
        if (entry.sendsLeft() > 0) {
            unsent.emplace_back(-entry.sendsLeft(), name);
        }
    }
    std::sort(unsent.begin(), unsent.end());
    std::vector<std::string> names;
    names.reserve(unsent.size());
    for (const auto &[order, name] : unsent) {
        names.push_back(name);
    }
    return names;
}

/// Changes for a message to `receiver`. What this node doubts of the receiver always rides along, so that the receiver
/// can refute it.
GossipStep<Members> takeChanges(MemberView view, const std::string &receiver)
{
    Members records;
    const Member *known = view.find(receiver);
    if (known != nullptr && receiver != view.self().name() && isDoubted(*known)) {
        records.push_back(*known);
    }
    for (const std::string &name : unsentNames(view)) {
        if (records.size() >= PiggybackLimit) {
            break;
        }
        if (name == receiver) {
            continue;
        }
        records.push_back(*view.find(name));
        view = std::move(view).withSent(name);
    }
    return {std::move(view), std::move(records)};
}

/// Whether a suspect failed while others of its zone could be reached. Otherwise the zone may be cut off.
bool failedAlone(const MemberView &view, const MemberEntry &suspect)
{
    const std::string &zone = suspect.member().zone();
    if (isUnreachable(view, zone)) {
        return false;
    }
    const Members others = view.others();
    const bool hasOthers = std::any_of(others.begin(), others.end(), [&](const Member &other) {
        return other.zone() == zone && other.name() != suspect.member().name();
    });
    return !hasOthers || view.hasContact(zone, suspect.changedAt());
}

/// Zones that only one side has, or that have another digest there.
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
    auto step = takeChanges(std::move(view), request.sender().name());
    return {std::move(step.view), GossipReply().withRecords(std::move(step.message))};
}

GossipStep<GossipReply> answerCompare(MemberView view, const GossipRequest &request)
{
    NameSet differing = differingZones(digestsOf(view), request.digests());
    RecordHeads heads;
    for (const Member &member : view.all()) {
        if (differing.contains(member.zone())) {
            heads.push_back(headOf(member));
        }
    }
    return {std::move(view), GossipReply().withDifferingZones(std::move(differing)).withHeads(std::move(heads))};
}

GossipStep<GossipReply> answerExchange(MemberView view, const GossipRequest &request)
{
    Members records;
    for (const std::string &name : request.wanted()) {
        const Member *member = view.find(name);
        if (member != nullptr && records.size() < ExchangeLimit) {
            records.push_back(*member);
        }
    }
    return {std::move(view), GossipReply().withRecords(std::move(records))};
}

} // namespace

MemberView merged(MemberView view, const Members &records, TimePoint now)
{
    const bool isSpread = records.size() <= PiggybackLimit;
    for (const Member &record : records) {
        if (record.name() == view.self().name()) {
            Member self = refuted(view, record, now);
            view = std::move(view).withSelf(std::move(self));
            continue;
        }
        const Member *known = view.find(record.name());
        const bool isNews = known == nullptr ? record.state() != MemberState::Dead : overrides(record, *known);
        if (isNews) {
            view = std::move(view).withRecord(record, now, isSpread);
        }
        view = std::move(view).withConfigurationVersion(record);
    }
    return view;
}

std::optional<Member> chooseProbed(const MemberView &view, std::uint64_t random)
{
    std::vector<const Member *> living;
    std::vector<const Member *> dead;
    for (const auto &[name, entry] : view.entries()) {
        (entry.member().state() == MemberState::Dead ? dead : living).push_back(&entry.member());
    }
    const std::uint64_t high = random >> HalfWordBits;
    const bool triesDead = !dead.empty() && (living.empty() || random % DeadProbePeriod == 0);
    if (triesDead) {
        return *pick(dead, high);
    }
    return living.empty() ? std::nullopt : std::optional(*pick(living, high));
}

Members chooseHelpers(const MemberView &view, const std::string &probed, std::size_t count, std::uint64_t random)
{
    Members candidates;
    for (const auto &[name, entry] : view.entries()) {
        if (entry.member().state() == MemberState::Alive && name != probed) {
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

std::optional<Member> chooseCompared(const MemberView &view, std::uint64_t random)
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
    if (!ownZone.empty() && random % OwnZonePeriod == 0) {
        return *pick(ownZone, high);
    }
    return all.empty() ? std::nullopt : std::optional(*pick(all, high));
}

GossipStep<GossipRequest> makeProbe(MemberView view, const std::string &receiver)
{
    auto step = takeChanges(std::move(view), receiver);
    auto request =
        GossipRequest().withKind(GossipKind::Probe).withSender(step.view.self()).withRecords(std::move(step.message));
    return {std::move(step.view), std::move(request)};
}

GossipStep<GossipReply> answer(MemberView view, const GossipRequest &request, TimePoint now)
{
    static constexpr std::array<Answer, 4> Answers = {answerProbe, answerProbe, answerCompare, answerExchange};
    view = merged(std::move(view), request.records(), now);
    view = merged(std::move(view), {request.sender()}, now);
    view = std::move(view).withContact(request.sender().zone(), now);
    auto step = Answers.at(static_cast<std::size_t>(request.kind()))(std::move(view), request);
    step.message = step.message.withSender(step.view.self());
    return step;
}

MemberView received(MemberView view, const GossipReply &reply, TimePoint now)
{
    view = merged(std::move(view), reply.records(), now);
    view = merged(std::move(view), {reply.sender()}, now);
    return std::move(view).withContact(reply.sender().zone(), now);
}

GossipRequest makeCompare(const MemberView &view)
{
    return GossipRequest().withKind(GossipKind::Compare).withSender(view.self()).withDigests(digestsOf(view));
}

std::optional<GossipRequest> makeExchange(const MemberView &view, const GossipReply &compared)
{
    std::map<std::string, RecordHead> theirs;
    for (const RecordHead &head : compared.heads()) {
        theirs.emplace(head.name(), head);
    }
    Members records;
    for (const Member &member : view.all()) {
        if (!compared.differingZones().contains(member.zone()) || records.size() >= ExchangeLimit) {
            continue;
        }
        const auto found = theirs.find(member.name());
        if (found == theirs.end() || orderOf(headOf(member)) > orderOf(found->second)) {
            records.push_back(member);
        }
    }
    NameSet wanted;
    for (const auto &[name, head] : theirs) {
        const Member *member = view.find(name);
        const bool isNews =
            member == nullptr ? head.state() != MemberState::Dead : orderOf(head) > orderOf(headOf(*member));
        if (isNews && wanted.size() < ExchangeLimit) {
            wanted.insert(name);
        }
    }
    if (records.empty() && wanted.empty()) {
        return std::nullopt;
    }
    return GossipRequest()
        .withKind(GossipKind::Exchange)
        .withSender(view.self())
        .withRecords(std::move(records))
        .withWanted(std::move(wanted));
}

MemberView probeFailed(MemberView view, const Member &probed, TimePoint now)
{
    const Member *known = view.find(probed.name());
    const bool isCurrent = known != nullptr && isSameLife(*known, probed) && known->sequence() == probed.sequence();
    if (!isCurrent) {
        return view;
    }
    // Enough of a zone that is cut off are suspect; more records would only have to be refuted later.
    if (known->state() == MemberState::Alive && !isUnreachable(view, known->zone())) {
        return std::move(view).withRecord(known->withState(MemberState::Suspect), now);
    }
    // A member that was leaving and no longer answers has left.
    if (known->state() == MemberState::Leaving) {
        return std::move(view).withRecord(known->withState(MemberState::Dead), now);
    }
    return view;
}

MemberView expired(MemberView view, TimePoint now)
{
    const Duration suspicion = suspicionTime(view.size());
    Members overdue;
    NameSet forgotten;
    for (const auto &[name, entry] : view.entries()) {
        const Duration age = now - entry.changedAt();
        if (entry.member().state() == MemberState::Suspect && age >= suspicion) {
            overdue.push_back(entry.member());
        }
        if (entry.member().state() == MemberState::Dead && age >= DeadMemory) {
            forgotten.insert(name);
        }
    }
    for (const Member &suspect : overdue) {
        const MemberEntry &entry = view.entries().at(suspect.name());
        if (now - entry.changedAt() >= UnreachableMemory || failedAlone(view, entry)) {
            view = std::move(view).withRecord(suspect.withState(MemberState::Dead), now);
        }
    }
    for (const std::string &name : forgotten) {
        view = std::move(view).without(name);
    }
    return view;
}

Duration suspicionTime(std::size_t size)
{
    const double digits = std::max(1.0, std::log10(static_cast<double>(size)));
    return std::chrono::duration_cast<Duration>(SuspicionPerDigit * digits);
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
