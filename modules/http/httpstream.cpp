// Reads complete HTTP messages from a connection.

#include "modules/http/httpstream.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <istream>
#include <streambuf>

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
/// A header that is longer ends the connection, however it is split into lines.
constexpr std::size_t MaxHeaderBytes = 1024UL * 1024;

[[noreturn]] void failTruncated()
{
    throw MessageException("the connection was closed inside a message");
}

void requireWithinLimit(std::size_t bytes, std::size_t maxBytes)
{
    if (bytes > maxBytes) {
        throw BodyTooLong();
    }
}

/// Gives the bytes of a source to a stream, up to a limit.
class LimitedBuffer final : public std::streambuf
{
public:
    LimitedBuffer(ByteSource &source, std::size_t limit)
        : m_source(source)
        , m_left(limit)
    {
    }

protected:
    int_type underflow() override
    {
        const int byte = m_left > 0 ? m_source.next() : EndOfStream;
        if (byte < 0) {
            return traits_type::eof();
        }
        --m_left;
        m_byte = static_cast<char>(byte);
        setg(&m_byte, &m_byte, &m_byte + 1);
        return traits_type::to_int_type(m_byte);
    }

private:
    ByteSource &m_source;
    std::size_t m_left;
    char m_byte = 0;
};

} // namespace

BodyTooLong::BodyTooLong()
    : MessageException("the body exceeds the size limit")
{
}

InputState HttpStream::readAhead(TimePoint now)
{
    std::array<char, BufferBytes> buffer;
    while (m_aheadBytes < MaxReadAheadBytes) {
        const std::size_t limit = std::min(buffer.size(), MaxReadAheadBytes - m_aheadBytes);
        const auto count = ::recv(socket().impl()->sockfd(), buffer.data(), limit, MSG_DONTWAIT);
        if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
            return InputState::Open;
        }
        if (count <= 0) {
            return InputState::Closed;
        }
        m_ahead.push_back({std::string(buffer.data(), static_cast<std::size_t>(count)), now});
        m_aheadBytes += static_cast<std::size_t>(count);
    }
    return InputState::Full;
}

void HttpStream::readHeader(Poco::Net::HTTPMessage &message)
{
    LimitedBuffer buffer(*this, MaxHeaderBytes);
    std::istream stream(&buffer);
    message.read(stream);
    // POCO treats the end of the stream as the end of the header.
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
        throw MessageException("Content-Length is not a number");
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
    std::array<char, BufferBytes> buffer;
    while (const std::size_t received = readSome(buffer.data(), buffer.size())) {
        body.append(buffer.data(), received);
        requireWithinLimit(body.size(), maxBytes);
    }
    return body;
}

int HttpStream::next()
{
    // Fills the buffer: a read of one byte from an empty one would be a system call for each byte.
    if (!hasHeldInput()) {
        peek();
    }
    char byte = 0;
    return readSome(&byte, sizeof(byte)) == 0 ? EndOfStream : static_cast<unsigned char>(byte);
}

std::size_t HttpStream::readSome(char *bytes, std::size_t count)
{
    if (buffered() == 0 && !m_ahead.empty()) {
        return takeHeld(bytes, count);
    }
    const int received = read(bytes, static_cast<std::streamsize>(count));
    return received <= 0 ? 0 : static_cast<std::size_t>(received);
}

std::size_t HttpStream::takeHeld(char *bytes, std::size_t count)
{
    const std::string &first = m_ahead.front().bytes;
    const std::size_t taken = first.copy(bytes, count, m_takenOfFirst);
    m_aheadBytes -= taken;
    m_takenOfFirst += taken;
    if (m_takenOfFirst == first.size()) {
        m_ahead.pop_front();
        m_takenOfFirst = 0;
    }
    return taken;
}

void HttpStream::readBytes(std::string &bytes, std::size_t count)
{
    std::array<char, BufferBytes> buffer;
    while (count > 0) {
        const std::size_t received = readSome(buffer.data(), std::min(count, buffer.size()));
        if (received == 0) {
            failTruncated();
        }
        bytes.append(buffer.data(), received);
        count -= received;
    }
}

} // namespace fescuepond
