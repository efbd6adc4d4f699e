// Keys of calls that may run at most once: how a caller names one, and how children derive theirs.
//
// CallContext::key holds the text of a KeyName until the ledger has found the key's owner; from then on it holds the
// text of a KeyLocation, from which the calls of the backend server derive their own keys.

#pragma once

#include "core/value.h"
#include "core/values/call.h"
#include "core/values/digest.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fescuepond
{

/// Longest key that a caller may choose, in bytes.
constexpr std::size_t MaxKeyBytes = 256;

enum class KeyOrigin {
    None, ///< The caller named no key: one submission is one request.
    Opaque, ///< Chosen by the caller; bound to a owner at the platform.
    Ticket, ///< Issued by a node, which is its owner.
    Derived, ///< Of a call made by a backend server; its owner is the node beside that server.
};

/// A key as a call brings it.
class KeyName
{
    FESCUEPOND_FIELD(KeyOrigin, origin, withOrigin);
    FESCUEPOND_FIELD(std::string, text, withText);

public:
    /// The form in which CallContext::key holds it.
    std::string toString() const;
    static KeyName parse(std::string_view text);
    friend auto operator<=>(const KeyName &, const KeyName &) = default;
};

/// The key of a call from outside by its two headers. A ticket goes before a chosen key.
KeyName keyOfRoot(const std::string &ticket, const std::string &idempotencyKey);

/// The key of `call`, made by the backend server while it runs `parent`. Equal calls of one parent have equal keys, so
/// that a re-send is caught; `ownKey`, which the backend may add, tells two equal calls apart that are both meant.
KeyName keyOfChild(const CallContext &parent, const CallRequest &call, const std::string &ownKey);

/// The call that made the child call with this derived key.
CallId parentOfChildKey(const std::string &derivedText);

/// Number of a key at its owner. Numbers are given in ascending order, starting at 1.
using KeySerial = std::uint64_t;

/// Where a key's record is kept: the incarnation of a node, and the number there. One location names one key for ever.
class KeyLocation
{
    FESCUEPOND_FIELD(Incarnation, owner, withOwner);
    FESCUEPOND_FIELD(KeySerial, serial, withSerial);

public:
    std::string toString() const;
    friend auto operator<=>(const KeyLocation &, const KeyLocation &) = default;
};

/// A key's location with the address of its owner, so that any node can forward a call there.
class Ticket
{
    FESCUEPOND_FIELD(KeyLocation, location, withLocation);
    FESCUEPOND_FIELD(std::string, address, withAddress); ///< Peer address of the owner when the ticket was issued.
    FESCUEPOND_FIELD(std::string, nodeName, withNodeName);

public:
    /// INCARNATION.SERIAL.ADDRESS.NAME, the serial in hexadecimal digits, the address with `_` for `.` in it.
    std::string toString() const;
    static std::optional<Ticket> parse(std::string_view text);
    friend auto operator<=>(const Ticket &, const Ticket &) = default;
};

/// The key that a caller chose, within its scope: the service and the kind of the call.
std::string scopedKey(const CallRequest &call, const KeyName &name);

/// Name of the platform's object for a scoped key.
std::string bindingObjectName(const std::string &scopedKey);

} // namespace fescuepond
