// Reading whole HTTP messages from a connection.
//
// POCO's streams take the end of a connection for the end of a header or of a chunked body. These functions are built
// on its HTTPSession and take a message only when all of it is here.

#pragma once

#include "modules/http/bodyreader.h"

#include <Poco/Net/HTTPMessage.h>
#include <Poco/Net/HTTPSession.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>

#include <cstddef>
#include <string>

namespace fescuepond
{

/// A message has a longer body than is allowed.
class BodyTooLong final : public Poco::Net::MessageException
{
public:
    BodyTooLong();
};

/// Whether bytes, the end of the connection or an error wait on a socket. POCO's own poll() makes a set of the system
/// for each question, which costs four system calls.
bool isReadable(const Poco::Net::Socket &socket);

class HttpStream : protected Poco::Net::HTTPSession, protected ByteSource
{
public:
    /// The socket itself, to set its limits or to end it.
    Poco::Net::StreamSocket &stream()
    {
        return socket();
    }

protected:
    explicit HttpStream(const Poco::Net::StreamSocket &socket)
        : HTTPSession(socket)
    {
    }

    /// Reads a header. Throws NoMessageException when the connection ends before it and MessageException when it ends
    /// within it.
    void readHeader(Poco::Net::HTTPMessage &message);
    /// The length that a message declares; throws MessageException when that is no length.
    static std::size_t declaredLength(const Poco::Net::HTTPMessage &message);
    std::string readBody(std::size_t length, std::size_t maxBytes);
    std::string readChunkedBody(std::size_t maxBytes);
    std::string readBodyUntilEnd(std::size_t maxBytes);

    /// HTTPSession::get() gives a signed char, in which the byte 0xFF is the end of the stream.
    int next() override;
    std::size_t readSome(char *bytes, std::size_t count) override;

private:
    /// Reads exactly `count` bytes onto the end of `bytes`.
    void readBytes(std::string &bytes, std::size_t count);
};

} // namespace fescuepond
