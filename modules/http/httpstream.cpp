// Reading whole HTTP messages from a connection.

#include "modules/http/httpstream.h"

#include <Poco/Net/HTTPHeaderStream.h>

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>

namespace fescuepond
{

bool isReadable(const Poco::Net::Socket &socket)
{
    char byte = 0;
    const auto count = ::recv(socket.impl()->sockfd(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    return count >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

namespace
{

using Poco::Net::MessageException;

constexpr std::size_t BufferBytes = 16'384;
constexpr int EndOfStream = -1;

[[noreturn]] void failTruncated()
{
    throw MessageException("the message breaks off");
}

void requireWithinLimit(std::size_t bytes, std::size_t maxBytes)
{
    if (bytes > maxBytes) {
        throw BodyTooLong();
    }
}

} // namespace

BodyTooLong::BodyTooLong()
    : MessageException("the body is too long")
{
}

void HttpStream::readHeader(Poco::Net::HTTPMessage &message)
{
    Poco::Net::HTTPHeaderInputStream stream(*this);
    message.read(stream);
    // The library takes the end of the stream for the end of the header.
    if (!stream.good()) {
        failTruncated();
    }
}

std::size_t HttpStream::declaredLength(const Poco::Net::HTTPMessage &message)
{
    const std::string &text = message.get(Poco::Net::HTTPMessage::CONTENT_LENGTH);
    std::size_t length = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), length);
    if (error != std::errc() || end != text.data() + text.size()) {
        throw MessageException("a length that is no number");
    }
    return length;
}

std::string HttpStream::readBody(std::size_t length, std::size_t maxBytes)
{
    requireWithinLimit(length, maxBytes);
    std::string body;
    readBytes(body, length);
    return body;
}

std::string HttpStream::readChunkedBody(std::size_t maxBytes)
{
    try {
        return fescuepond::readBody(*this, BodyFraming().withIsChunked(true), maxBytes);
    } catch (const RequestError &error) {
        throw MessageException(error.what());
    }
}

std::string HttpStream::readBodyUntilEnd(std::size_t maxBytes)
{
    std::string body;
    std::array<char, BufferBytes> piece;
    while (const std::size_t received = readSome(piece.data(), piece.size())) {
        body.append(piece.data(), received);
        requireWithinLimit(body.size(), maxBytes);
    }
    return body;
}

int HttpStream::next()
{
    char byte = 0;
    return readSome(&byte, sizeof(byte)) == 0 ? EndOfStream : static_cast<unsigned char>(byte);
}

std::size_t HttpStream::readSome(char *bytes, std::size_t count)
{
    const int received = read(bytes, static_cast<std::streamsize>(count));
    return received <= 0 ? 0 : static_cast<std::size_t>(received);
}

void HttpStream::readBytes(std::string &bytes, std::size_t count)
{
    std::array<char, BufferBytes> piece;
    while (count > 0) {
        const std::size_t received = readSome(piece.data(), std::min(count, piece.size()));
        if (received == 0) {
            failTruncated();
        }
        bytes.append(piece.data(), received);
        count -= received;
    }
}

} // namespace fescuepond
