// Conversion between Cap'n Proto messages and flat byte strings.

#include "modules/peer/flatmessage.h"

#include <cstring>

namespace fescuepond
{

namespace
{

kj::Array<capnp::word> toWords(const std::string &bytes)
{
    auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
    std::memcpy(words.begin(), bytes.data(), words.size() * sizeof(capnp::word));
    return words;
}

} // namespace

std::string toBytes(capnp::MessageBuilder &message)
{
    const auto words = capnp::messageToFlatArray(message);
    const auto bytes = words.asChars();
    return std::string(bytes.begin(), bytes.size());
}

FlatMessageReader::FlatMessageReader(const std::string &bytes)
    : m_words(toWords(bytes))
    , m_reader(m_words)
{
}

} // namespace fescuepond
