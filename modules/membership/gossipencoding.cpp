// Conversion between the values of the gossip protocol and the bodies of peer messages: packed Cap'n Proto.

#include "modules/membership/gossipencoding.h"

#include "modules/membership/gossip.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

namespace fescuepond
{

namespace
{

void build(const Member &member, gossip::Member::Builder builder)
{
    builder.setName(member.name());
    builder.setStartedAtMs(member.startedAtMs());
    builder.setIncarnationHigh(member.incarnation().high());
    builder.setIncarnationLow(member.incarnation().low());
    builder.setSequence(member.sequence());
    builder.setState(static_cast<std::uint8_t>(member.state()));
    builder.setService(member.service());
    builder.setZone(member.zone());
    builder.setRegion(member.region());
    builder.setPeerAddress(member.peerAddress());
    builder.setConfigurationVersion(member.configurationVersion());
    builder.setIsServing(member.isServing());
    builder.setSlots(member.slots());
}

void build(const Members &members, capnp::List<gossip::Member>::Builder builder)
{
    unsigned i = 0;
    for (const Member &member : members) {
        build(member, builder[i++]);
    }
}

void build(const NameSet &names, capnp::List<capnp::Text>::Builder builder)
{
    unsigned i = 0;
    for (const std::string &name : names) {
        builder.set(i++, name);
    }
}

/// Throws if this version doesn't know the state, as for any invalid message.
MemberState toState(std::uint8_t state)
{
    KJ_REQUIRE(state <= static_cast<std::uint8_t>(MemberState::Dead), "unknown member state");
    return static_cast<MemberState>(state);
}

Member read(gossip::Member::Reader reader)
{
    KJ_REQUIRE(reader.getName().size() > 0, "member record without a name");
    return Member()
        .withName(reader.getName())
        .withStartedAtMs(reader.getStartedAtMs())
        .withIncarnation(Incarnation(reader.getIncarnationHigh(), reader.getIncarnationLow()))
        .withSequence(reader.getSequence())
        .withState(toState(reader.getState()))
        .withService(reader.getService())
        .withZone(reader.getZone())
        .withRegion(reader.getRegion())
        .withPeerAddress(reader.getPeerAddress())
        .withConfigurationVersion(reader.getConfigurationVersion())
        .withIsServing(reader.getIsServing())
        .withSlots(reader.getSlots());
}

Members read(capnp::List<gossip::Member>::Reader reader)
{
    Members members;
    for (const gossip::Member::Reader member : reader) {
        members.push_back(read(member));
    }
    return members;
}

NameSet read(capnp::List<capnp::Text>::Reader reader)
{
    NameSet names;
    for (const capnp::Text::Reader name : reader) {
        names.insert(name.cStr());
    }
    return names;
}

void build(const GossipRequest &request, gossip::Request::Builder builder)
{
    builder.setKind(static_cast<std::uint8_t>(request.kind()));
    build(request.sender(), builder.initSender());
    build(request.records(), builder.initRecords(static_cast<unsigned>(request.records().size())));
    builder.setAddress(request.address());
    auto digests = builder.initDigests(static_cast<unsigned>(request.digests().size()));
    unsigned i = 0;
    for (const ZoneDigest &digest : request.digests()) {
        digests[i].setZone(digest.zone());
        digests[i++].setDigest(digest.digest());
    }
    build(request.wanted(), builder.initWanted(static_cast<unsigned>(request.wanted().size())));
}

GossipRequest read(gossip::Request::Reader reader)
{
    KJ_REQUIRE(reader.getKind() <= static_cast<std::uint8_t>(GossipKind::RecordSync), "unknown gossip request kind");
    ZoneDigests digests;
    for (const gossip::ZoneDigest::Reader digest : reader.getDigests()) {
        digests.push_back(ZoneDigest().withZone(digest.getZone()).withDigest(digest.getDigest()));
    }
    return GossipRequest()
        .withKind(static_cast<GossipKind>(reader.getKind()))
        .withSender(read(reader.getSender()))
        .withRecords(read(reader.getRecords()))
        .withAddress(reader.getAddress())
        .withDigests(std::move(digests))
        .withWanted(read(reader.getWanted()));
}

void build(const GossipReply &reply, gossip::Reply::Builder builder)
{
    build(reply.sender(), builder.initSender());
    build(reply.records(), builder.initRecords(static_cast<unsigned>(reply.records().size())));
    builder.setReached(reply.isReachable());
    auto recordVersions = builder.initHeads(static_cast<unsigned>(reply.recordVersions().size()));
    unsigned i = 0;
    for (const RecordVersion &version : reply.recordVersions()) {
        recordVersions[i].setName(version.name());
        recordVersions[i].setStartedAtMs(version.startedAtMs());
        recordVersions[i].setSequence(version.sequence());
        recordVersions[i++].setState(static_cast<std::uint8_t>(version.state()));
    }
    build(reply.differingZones(), builder.initDifferingZones(static_cast<unsigned>(reply.differingZones().size())));
}

GossipReply read(gossip::Reply::Reader reader)
{
    RecordVersions recordVersions;
    for (const gossip::RecordHead::Reader version : reader.getHeads()) {
        recordVersions.push_back(RecordVersion()
                                     .withName(version.getName())
                                     .withStartedAtMs(version.getStartedAtMs())
                                     .withSequence(version.getSequence())
                                     .withState(toState(version.getState())));
    }
    return GossipReply()
        .withSender(read(reader.getSender()))
        .withRecords(read(reader.getRecords()))
        .withIsReachable(reader.getReached())
        .withRecordVersions(std::move(recordVersions))
        .withDifferingZones(read(reader.getDifferingZones()));
}

void build(const BroadcastMessage &message, gossip::Broadcast::Builder builder)
{
    build(message.record(), builder.initRecord());
    builder.setFirstHash(message.range().first());
    builder.setLastHash(message.range().last());
    build(message.visited(), builder.initPassed(static_cast<unsigned>(message.visited().size())));
}

BroadcastMessage read(gossip::Broadcast::Reader reader)
{
    return BroadcastMessage()
        .withRecord(read(reader.getRecord()))
        .withRange(HashRange().withFirst(reader.getFirstHash()).withLast(reader.getLastHash()))
        .withVisited(read(reader.getPassed()));
}

template<typename Struct, typename Value>
std::string encodeAs(const Value &value)
{
    capnp::MallocMessageBuilder message;
    build(value, message.initRoot<Struct>());
    kj::VectorOutputStream stream;
    capnp::writePackedMessage(stream, message);
    const auto bytes = stream.getArray();
    return std::string(reinterpret_cast<const char *>(bytes.begin()), bytes.size());
}

template<typename Struct, typename Value>
std::optional<Value> decodeAs(const std::string &body)
{
    std::optional<Value> value;
    const auto error = kj::runCatchingExceptions([&] {
        kj::ArrayInputStream stream({reinterpret_cast<const kj::byte *>(body.data()), body.size()});
        capnp::PackedMessageReader message(stream);
        value = read(message.getRoot<Struct>());
    });
    return error == nullptr ? value : std::nullopt;
}

} // namespace

std::string encode(const GossipRequest &request)
{
    return encodeAs<gossip::Request>(request);
}

std::string encode(const GossipReply &reply)
{
    return encodeAs<gossip::Reply>(reply);
}

std::string encode(const BroadcastMessage &message)
{
    return encodeAs<gossip::Broadcast>(message);
}

std::optional<GossipRequest> decodeRequest(const std::string &body)
{
    return decodeAs<gossip::Request, GossipRequest>(body);
}

std::optional<GossipReply> decodeReply(const std::string &body)
{
    return decodeAs<gossip::Reply, GossipReply>(body);
}

std::optional<BroadcastMessage> decodeBroadcast(const std::string &body)
{
    return decodeAs<gossip::Broadcast, BroadcastMessage>(body);
}

} // namespace fescuepond
