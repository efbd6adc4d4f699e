// Size limits of the messages between nodes.

#pragma once

#include <capnp/message.h>

#include <cstdint>

namespace fescuepond
{

/// Allowance for the fields of a message other than bodies and headers.
constexpr std::uint64_t MessageOverheadBytes = 65'536;

/// Maximum size of a message with bodies and headers of the given sizes. The factor 2 allows reading the message twice:
/// Cap'n Proto's traversal limit counts data each time it is read.
constexpr std::uint64_t maxMessageBytes(std::uint64_t maxBodyBytes, std::uint64_t maxHeaderBytes)
{
    return 2 * (maxBodyBytes + maxHeaderBytes) + MessageOverheadBytes;
}

/// Options with which a longer message is rejected before memory is allocated for it.
inline capnp::ReaderOptions readerOptions(std::uint64_t maxMessageBytes)
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = maxMessageBytes / sizeof(capnp::word);
    return options;
}

} // namespace fescuepond
