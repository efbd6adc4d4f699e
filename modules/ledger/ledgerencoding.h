// Conversion of the ledger's values to and from messages between nodes and objects at the platform.

#pragma once

#include "modules/ledger/ledger.capnp.h"
#include "modules/peer/flatmessage.h"
#include "servers/ledger/binding.h"
#include "servers/ledger/keyrecord.h"

#include <optional>
#include <string>

namespace fescuepond
{

/// A call for the owner of `location`. Without an owner, the receiving node submits the call as its entry node.
std::string encodeKeyedCall(const KeyLocation &location, const CallRequest &call, TimePoint now);

/// Reply of the node that a call was forwarded to.
enum class KeyedReplyKind {
    Outcome,
    NotOwner,
    Moved,
};
class KeyedReply
{
    FESCUEPOND_FIELD(KeyedReplyKind, kind, withKind);
    FESCUEPOND_FIELD(CallOutcome, outcome, withOutcome); ///< Set with Outcome.
    FESCUEPOND_FIELD(std::string, address, withAddress); ///< Set with Moved: of the node that holds the ledger now.

public:
    friend auto operator<=>(const KeyedReply &, const KeyedReply &) = default;
};
std::string encodeKeyedReply(const KeyedReply &reply);
/// Nothing if the message is malformed.
std::optional<KeyedReply> decodeKeyedReply(const std::string &bytes);

/// A batch of `count` records of a ledger, from index `first` on.
std::string encodeRecordBatch(const LedgerSnapshot &snapshot, std::size_t first, std::size_t count);
std::string encodeTransferCommit(const LedgerSnapshot &snapshot);
std::string encodeLedgerMoved(const Incarnation &owner, const std::string &address);
std::string encodeLocate(const Incarnation &owner);
/// Nothing if a record is malformed.
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

/// The content of the platform's object for a key.
std::string toJson(const KeyBinding &binding);
std::optional<KeyBinding> bindingFromJson(const std::string &text);

} // namespace fescuepond
