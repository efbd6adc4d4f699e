// Conversion between Cap'n Proto messages and flat byte strings, which are the bodies of PeerMessages.

#pragma once

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/array.h>

#include <string>

namespace fescuepond
{

std::string toBytes(capnp::MessageBuilder &message);

/// Reads a message from a byte string. Throws kj::Exception if the message is malformed.
class FlatMessageReader
{
public:
    explicit FlatMessageReader(const std::string &bytes);
    template<typename Root>
    typename Root::Reader root()
    {
        return m_reader.getRoot<Root>();
    }

private:
    kj::Array<capnp::word> m_words; ///< A copy, since the reader needs aligned memory.
    capnp::FlatArrayMessageReader m_reader;
};

} // namespace fescuepond
