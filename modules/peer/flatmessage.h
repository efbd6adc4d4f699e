// Cap'n Proto messages as bytes, for the bodies of PeerMessages.

#pragma once

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <cstring>
#include <optional>
#include <string>
#include <vector>

namespace fescuepond
{

inline std::string toBytes(capnp::MessageBuilder &message)
{
    const kj::Array<capnp::word> words = capnp::messageToFlatArray(message);
    const auto bytes = words.asBytes();
    return std::string(reinterpret_cast<const char *>(bytes.begin()), bytes.size());
}

/// Gives `decode` the root of a message; nothing when the bytes are not a valid message.
template<typename Root, typename Decode>
auto readMessage(const std::string &bytes, Decode &&decode) -> std::optional<decltype(decode(typename Root::Reader()))>
{
    // The library wants words at aligned addresses.
    std::vector<capnp::word> words(bytes.size() / sizeof(capnp::word));
    std::memcpy(words.data(), bytes.data(), words.size() * sizeof(capnp::word));
    try {
        capnp::FlatArrayMessageReader reader(kj::arrayPtr(words.data(), words.size()));
        return decode(reader.getRoot<Root>());
    } catch (const kj::Exception &) {
        return std::nullopt;
    }
}

} // namespace fescuepond
