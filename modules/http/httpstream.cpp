// Reads complete HTTP messages from a connection.

#include "modules/http/httpstream.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <string_view>

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

std::string HttpStream::readHeaderText()
{
    constexpr std::string_view LineEnd = "\r\n";
    constexpr std::string_view SectionEnd = "\r\n\r\n";
    std::string text;
    for (std::size_t bytes = 0; !text.ends_with(SectionEnd); ++bytes) {
        const int byte = next();
        if (byte == EndOfStream && text.empty()) {
            throw Poco::Net::NoMessageException();
        }
        if (byte == EndOfStream) {
            failTruncated();
        }
        if (byte == '\n' && !text.ends_with('\r')) {
            throw MessageException("a header line ends without CR");
        }
        if (bytes == MaxHeaderBytes) {
            throw MessageException("the header exceeds the size limit");
        }
        text.push_back(static_cast<char>(byte));
        if (text == LineEnd) {
            text.clear();
        }
    }
    return text;
}

void HttpStream::sendAll(const std::string &bytes, const std::function<void()> &onProgress)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const int count = socket().sendBytes(bytes.data() + sent, static_cast<int>(bytes.size() - sent));
        if (count <= 0) {
            throw Poco::Net::ConnectionAbortedException("the remote side closed the connection during a write");
        }
        sent += static_cast<std::size_t>(count);
        onProgress();
    }
}

std::string HttpStream::readBody(std::size_t length, std::size_t maxBytes)
{
    requireWithinLimit(length, maxBytes);
    return readFramed(BodyFraming().withLength(length), maxBytes);
}

std::string HttpStream::readChunkedBody(std::size_t maxBytes)
{
    return readFramed(BodyFraming().withIsChunked(true), maxBytes);
}

std::string HttpStream::readFramed(const BodyFraming &framing, std::size_t maxBytes)
{
    try {
        return fescuepond::readBody(*this, framing, maxBytes);
    } catch (const RequestError &error) {
        throw MessageException(error.what());
    }
}

std::string HttpStream::readBodyUntilEnd(std::size_t maxBytes)
{
    BodyBuffer body;
    std::array<char, BufferBytes> buffer;
    try {
        while (const std::size_t received = readSome(buffer.data(), buffer.size())) {
            requireWithinLimit(body.size() + received, maxBytes);
            body.append(buffer.data(), received);
        }
    } catch (const BodyMemoryExceeded &error) {
        throw MessageException(error.what());
    }
    return body.take();
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

} // namespace fescuepond
