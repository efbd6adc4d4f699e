// Conversion of the ledger's values to and from messages between nodes and objects at the platform.

#include "modules/ledger/ledgerencoding.h"

#include "modules/peer/wireencoding.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <kj/exception.h>

#include <sstream>

namespace fescuepond
{

namespace
{

/// Calls `read`; returns nothing if the message is malformed.
template<typename Function>
auto readOrNothing(Function &&read) -> decltype(read())
{
    try {
        return read();
    } catch (const kj::Exception &) {
        return std::nullopt;
    }
}

std::optional<KeyedReply> readKeyedReply(wire::KeyedReply::Reader reader)
{
    switch (reader.which()) {
    case wire::KeyedReply::OUTCOME: {
        const auto outcome = decode(reader.getOutcome());
        return outcome ? std::optional(KeyedReply().withKind(KeyedReplyKind::Outcome).withOutcome(*outcome))
                       : std::nullopt;
    }
    case wire::KeyedReply::NOT_HOME:
        return KeyedReply().withKind(KeyedReplyKind::NotOwner);
    case wire::KeyedReply::MOVED_TO:
        return KeyedReply().withKind(KeyedReplyKind::Moved).withAddress(reader.getMovedTo());
    }
    return std::nullopt;
}

} // namespace

std::string encodeKeyedCall(const KeyLocation &location, const CallRequest &call, TimePoint now)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::KeyedCall>();
    encode(location.owner(), root.initHome());
    root.setSerial(location.serial());
    encode(call, now, std::nullopt, root.initCall());
    return toBytes(message);
}

std::string encodeKeyedReply(const KeyedReply &reply)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::KeyedReply>();
    switch (reply.kind()) {
    case KeyedReplyKind::Outcome:
        encode(reply.outcome(), root.initOutcome());
        break;
    case KeyedReplyKind::NotOwner:
        root.setNotHome();
        break;
    case KeyedReplyKind::Moved:
        root.setMovedTo(reply.address());
        break;
    }
    return toBytes(message);
}

std::optional<KeyedReply> decodeKeyedReply(const std::string &bytes)
{
    return readOrNothing([&] {
        FlatMessageReader message(bytes);
        return readKeyedReply(message.root<wire::KeyedReply>());
    });
}

std::string encodeRecordBatch(const LedgerSnapshot &snapshot, std::size_t first, std::size_t count)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::KeyRecords>();
    encode(snapshot.owner(), root.initHome());
    auto part = root.initPart(static_cast<unsigned>(count));
    for (std::size_t i = 0; i < count; ++i) {
        const KeyRecord &record = snapshot.records()[first + i];
        auto builder = part[static_cast<unsigned>(i)];
        builder.setSerial(record.serial());
        encode(record.fingerprint(), builder.initFingerprint());
        encode(record.outcome(), builder.initOutcome());
    }
    return toBytes(message);
}

std::string encodeTransferCommit(const LedgerSnapshot &snapshot)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::KeyRecords>();
    encode(snapshot.owner(), root.initHome());
    auto commit = root.initCommit();
    commit.setWatermark(snapshot.watermark());
    commit.setNextSerial(snapshot.nextSerial());
    commit.setRecordCount(snapshot.records().size());
    return toBytes(message);
}

std::string encodeLedgerMoved(const Incarnation &owner, const std::string &address)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::KeyRecords>();
    encode(owner, root.initHome());
    root.setMovedTo(address);
    return toBytes(message);
}

std::string encodeLocate(const Incarnation &owner)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::KeyRecords>();
    encode(owner, root.initHome());
    root.setLocate();
    return toBytes(message);
}

std::optional<KeyRecords> decodeRecords(capnp::List<wire::KeyRecord>::Reader reader)
{
    KeyRecords records;
    for (const wire::KeyRecord::Reader entry : reader) {
        const auto outcome = decode(entry.getOutcome());
        if (!outcome) {
            return std::nullopt;
        }
        records.push_back(KeyRecord()
                              .withSerial(entry.getSerial())
                              .withFingerprint(decodeId<Fingerprint>(entry.getFingerprint()))
                              .withState(KeyState::Finished)
                              .withOutcome(*outcome));
    }
    return records;
}

std::string encodeRecordsReply(const KeyRecordsReply &reply)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::KeyRecordsReply>();
    root.setAccepted(reply.accepted());
    root.setAddress(reply.address());
    return toBytes(message);
}

std::optional<KeyRecordsReply> decodeRecordsReply(const std::string &bytes)
{
    return readOrNothing([&]() -> std::optional<KeyRecordsReply> {
        FlatMessageReader message(bytes);
        const auto root = message.root<wire::KeyRecordsReply>();
        return KeyRecordsReply().withAccepted(root.getAccepted()).withAddress(root.getAddress());
    });
}

std::string toJson(const KeyBinding &binding)
{
    Poco::JSON::Object object;
    object.set("key", binding.scopedKey());
    object.set("ticket", binding.ticket().toString());
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

std::optional<KeyBinding> bindingFromJson(const std::string &text)
{
    try {
        const auto object = Poco::JSON::Parser().parse(text).extract<Poco::JSON::Object::Ptr>();
        const auto ticket = Ticket::parse(object->getValue<std::string>("ticket"));
        if (!ticket) {
            return std::nullopt;
        }
        return KeyBinding().withScopedKey(object->getValue<std::string>("key")).withTicket(*ticket);
    } catch (const Poco::Exception &) {
        return std::nullopt;
    }
}

} // namespace fescuepond
