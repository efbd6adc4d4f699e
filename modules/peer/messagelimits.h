// Limits on the messages between nodes.

#pragma once

#include <capnp/message.h>

#include <cstdint>

namespace fescuepond
{

/// What a message may hold besides bodies and headers.
constexpr std::uint64_t MessageOverheadBytes = 65'536;

/// The longest message for bodies and headers of the given lengths. Cap'n Proto counts what is read twice as twice.
constexpr std::uint64_t maxMessageBytes(std::uint64_t maxBodyBytes, std::uint64_t maxHeaderBytes)
{
    return 2 * (maxBodyBytes + maxHeaderBytes) + MessageOverheadBytes;
}

/// Options under which a longer message is refused before memory is taken for it.
inline capnp::ReaderOptions readerOptions(std::uint64_t maxMessageBytes)
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = maxMessageBytes / sizeof(capnp::word);
    return options;
}

} // namespace fescuepond
