// Cap'n Proto messages as bytes, for the bodies of PeerMessages.

#pragma once

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/array.h>

#include <string>

namespace fescuepond
{

std::string toBytes(capnp::MessageBuilder &message);

/// Reads a message from bytes. Its functions throw kj::Exception when the message is malformed.
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
    kj::Array<capnp::word> m_words; ///< A copy: the reader needs aligned memory.
    capnp::FlatArrayMessageReader m_reader;
};

} // namespace fescuepond
