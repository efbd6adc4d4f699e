// Idempotency keys of calls that may run at most once: how a caller supplies one, and how child calls derive theirs.
//
// CallContext::key holds the text of a KeyName until the ledger has found the key's owner. From then on it holds the
// text of a KeyLocation, from which child calls, made by the backend server while it runs the call, derive their keys.

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

/// Maximum length in bytes of a key chosen by the caller.
constexpr std::size_t MaxKeyBytes = 256;

enum class KeyOrigin {
    None, ///< The caller supplied no key: each submission is a request of its own.
    Opaque, ///< Chosen by the caller; bound to its owner at the platform.
    Ticket, ///< Issued by a node, which is its owner.
    Derived, ///< Of a child call made by a backend server; its owner is the node beside that server.
};

/// A key as supplied with a call.
class KeyName
{
    FESCUEPOND_FIELD(KeyOrigin, origin, withOrigin);
    FESCUEPOND_FIELD(std::string, text, withText);

public:
    /// The text form held by CallContext::key.
    std::string toString() const;
    static KeyName parse(std::string_view text);
    friend auto operator<=>(const KeyName &, const KeyName &) = default;
};

/// The key of a root request, from its two headers. A ticket takes precedence over a key chosen by the caller.
KeyName keyOfRoot(const std::string &ticket, const std::string &idempotencyKey);

/// The key of `call`, made by the backend server while it runs `parent`. Identical calls of one parent have the same
/// key, so that a retry is recognised. A backend server that means to make two identical calls distinguishes them by
/// `ownKey`.
KeyName keyOfChild(const CallContext &parent, const CallRequest &call, const std::string &ownKey);

/// The parent call that a child call's derived key was made from.
CallId parentOfChildKey(const std::string &derivedText);

/// Serial number of a key, unique at its owner. Serials are issued in ascending order, starting at 1.
using KeySerial = std::uint64_t;

/// Where a key's record is kept: the owning node's incarnation and the serial there. A location is never reused.
class KeyLocation
{
    FESCUEPOND_FIELD(Incarnation, owner, withOwner);
    FESCUEPOND_FIELD(KeySerial, serial, withSerial);

public:
    std::string toString() const;
    friend auto operator<=>(const KeyLocation &, const KeyLocation &) = default;
};

/// A key's location with its owner's address, which lets any node forward a call there.
class Ticket
{
    FESCUEPOND_FIELD(KeyLocation, location, withLocation);
    FESCUEPOND_FIELD(std::string, address, withAddress); ///< Peer address of the owner when the ticket was issued.
    FESCUEPOND_FIELD(std::string, nodeName, withNodeName);

public:
    /// INCARNATION.SERIAL.ADDRESS.NAME, with the serial in hexadecimal and each `.` of the address replaced by `_`.
    std::string toString() const;
    static std::optional<Ticket> parse(std::string_view text);
    friend auto operator<=>(const Ticket &, const Ticket &) = default;
};

/// A caller's key qualified by its scope: the service and the kind of the call.
std::string scopedKey(const CallRequest &call, const KeyName &name);

/// Name of the platform's object for a scoped key.
std::string bindingObjectName(const std::string &scopedKey);

} // namespace fescuepond
