// Between the ledger's values and its messages to other nodes and objects at the platform.

#pragma once

#include "modules/ledger/ledger.capnp.h"
#include "modules/peer/flatmessage.h"
#include "servers/ledger/binding.h"
#include "servers/ledger/keyrecord.h"

#include <optional>
#include <string>

namespace fescuepond
{

/// A call for the owner of `location`; no owner: for the callee to take as its entry node would.
std::string encodeKeyedCall(const KeyLocation &location, const CallRequest &call, TimePoint now);

/// The answer of the node that was taken for a key's owner.
enum class KeyedReplyKind {
    Outcome,
    NotOwner,
    Moved,
};
class KeyedReply
{
    FESCUEPOND_FIELD(KeyedReplyKind, kind, withKind);
    FESCUEPOND_FIELD(CallOutcome, outcome, withOutcome); ///< Set with Outcome.
    FESCUEPOND_FIELD(std::string, address, withAddress); ///< Set with Moved: where the owner's records are.

public:
    friend auto operator<=>(const KeyedReply &, const KeyedReply &) = default;
};
std::string encodeKeyedReply(const KeyedReply &reply);
/// Nothing when the message is damaged.
std::optional<KeyedReply> decodeKeyedReply(const std::string &bytes);

/// Part of a owner's records: `count` of them from `first` on.
std::string encodeRecordBatch(const LedgerSnapshot &snapshot, std::size_t first, std::size_t count);
std::string encodeTransferCommit(const LedgerSnapshot &snapshot);
std::string encodeLedgerMoved(const Incarnation &owner, const std::string &address);
std::string encodeLocate(const Incarnation &owner);
/// Nothing when a record is damaged.
std::optional<KeyRecords> decodeRecords(capnp::List<wire::KeyRecord>::Reader reader);

class KeyRecordsReply
{
    FESCUEPOND_FIELD(bool, accepted, withAccepted);
    FESCUEPOND_FIELD(std::string, address, withAddress);

public:
    friend auto operator<=>(const KeyRecordsReply &, const KeyRecordsReply &) = default;
};
std::string encodeRecordsReply(const KeyRecordsReply &reply);
std::optional<KeyRecordsReply> decodeRecordsReply(const std::string &bytes);

/// The platform's object for a key, as JSON.
std::string toJson(const KeyBinding &binding);
std::optional<KeyBinding> bindingFromJson(const std::string &text);

} // namespace fescuepond
