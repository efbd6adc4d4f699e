// Reads complete HTTP messages from a connection.
//
// POCO's streams treat the end of a connection as the end of a header or of a chunked body. These functions use only
// its HTTPSession and accept a message only if all of it has arrived.

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

/// The body of a message exceeds the size limit.
class BodyTooLong final : public Poco::Net::MessageException
{
public:
    BodyTooLong();
};

/// Whether a read would return at once: with bytes, with the end of the connection or with an error. POCO's
/// Socket::poll() creates an epoll instance for each check, which costs four system calls.
bool isReadable(const Poco::Net::Socket &socket);

class HttpStream : protected Poco::Net::HTTPSession, protected ByteSource
{
public:
    /// The socket itself, for setting time-outs or shutting it down.
    Poco::Net::StreamSocket &stream()
    {
        return socket();
    }

protected:
    explicit HttpStream(const Poco::Net::StreamSocket &socket)
        : HTTPSession(socket)
    {
    }

    /// Reads a header. Throws NoMessageException if the connection ends before it and MessageException if it ends
    /// inside it.
    void readHeader(Poco::Net::HTTPMessage &message);
    /// The value of Content-Length. Throws MessageException if it is not a number.
    static std::size_t declaredLength(const Poco::Net::HTTPMessage &message);
    std::string readBody(std::size_t length, std::size_t maxBytes);
    std::string readChunkedBody(std::size_t maxBytes);
    std::string readBodyUntilEnd(std::size_t maxBytes);

    /// Not based on HTTPSession::get(), which returns a signed char: the byte 0xFF would read as the end of the stream.
    int next() override;
    std::size_t readSome(char *bytes, std::size_t count) override;

private:
    /// Appends exactly `count` bytes to `bytes`.
    void readBytes(std::string &bytes, std::size_t count);
};

} // namespace fescuepond
