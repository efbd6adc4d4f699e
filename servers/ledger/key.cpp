// Text forms of keys, and the digests that name child keys and platform objects.

#include "servers/ledger/key.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace fescuepond
{

namespace
{

constexpr std::array<std::string_view, 4> OriginPrefixes = {"none:", "opaque:", "ticket:", "derived:"};
constexpr int HexBase = 16;

/// Removes the text up to the next dot, and the dot, from the front of `rest` and returns the text.
std::string_view takeField(std::string_view &rest)
{
    const auto dot = rest.find('.');
    const std::string_view part = rest.substr(0, dot);
    rest = dot == std::string_view::npos ? std::string_view() : rest.substr(dot + 1);
    return part;
}

std::string replaced(std::string text, char from, char to)
{
    std::replace(text.begin(), text.end(), from, to);
    return text;
}

std::optional<KeySerial> parseSerial(std::string_view text)
{
    KeySerial serial = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), serial, HexBase);
    const bool isComplete = result.ec == std::errc() && result.ptr == text.data() + text.size();
    return isComplete && serial > 0 ? std::optional(serial) : std::nullopt;
}

} // namespace

std::string KeyName::toString() const
{
    if (m_origin == KeyOrigin::None) {
        return {};
    }
    return std::string(OriginPrefixes.at(static_cast<std::size_t>(m_origin))) + m_text;
}

KeyName KeyName::parse(std::string_view text)
{
    for (const KeyOrigin origin : {KeyOrigin::Opaque, KeyOrigin::Ticket, KeyOrigin::Derived}) {
        const std::string_view prefix = OriginPrefixes.at(static_cast<std::size_t>(origin));
        if (text.starts_with(prefix)) {
            return KeyName().withOrigin(origin).withText(std::string(text.substr(prefix.size())));
        }
    }
    return {};
}

KeyName keyOfRoot(const std::string &ticket, const std::string &idempotencyKey)
{
    if (!ticket.empty()) {
        return KeyName().withOrigin(KeyOrigin::Ticket).withText(ticket);
    }
    if (!idempotencyKey.empty()) {
        return KeyName().withOrigin(KeyOrigin::Opaque).withText(idempotencyKey);
    }
    return {};
}

KeyName keyOfChild(const CallContext &parent, const CallRequest &call, const std::string &ownKey)
{
    const std::string parentKey = parent.key().empty() ? parent.callId().toString() : parent.key();
    const auto digest = digestOf<Fingerprint>({parentKey, fingerprintOf(call).toString(), ownKey});
    return KeyName()
        .withOrigin(KeyOrigin::Derived)
        .withText(fmt::format("{}.{}", parent.callId().toString(), digest.toString()));
}

CallId parentOfChildKey(const std::string &derivedText)
{
    return CallId::parse(derivedText.substr(0, derivedText.find('.'))).value_or(CallId());
}

std::string KeyLocation::toString() const
{
    return fmt::format("{}.{:x}", m_owner.toString(), m_serial);
}

std::string Ticket::toString() const
{
    return fmt::format("{}.{}.{}", m_location.toString(), replaced(m_address, '.', '_'), m_nodeName);
}

std::optional<Ticket> Ticket::parse(std::string_view text)
{
    const auto owner = Incarnation::parse(takeField(text));
    const auto serial = parseSerial(takeField(text));
    const std::string address = replaced(std::string(takeField(text)), '_', '.');
    if (!owner || !serial || address.empty() || text.empty()) {
        return std::nullopt;
    }
    return Ticket()
        .withLocation(KeyLocation().withOwner(*owner).withSerial(*serial))
        .withAddress(address)
        .withNodeName(std::string(text));
}

std::string scopedKey(const CallRequest &call, const KeyName &name)
{
    return fmt::format("{}/{}/{}", call.service(), call.context().kind(), name.text());
}

std::string bindingObjectName(const std::string &scopedKey)
{
    return digestOf<Fingerprint>({scopedKey}).toString();
}

} // namespace fescuepond
