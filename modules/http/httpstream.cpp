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
    while (m_heldBytes < MaxReadAheadBytes) {
        const std::size_t limit = std::min(buffer.size(), MaxReadAheadBytes - m_heldBytes);
        const auto count = ::recv(m_socket.impl()->sockfd(), buffer.data(), limit, MSG_DONTWAIT);
        if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
            return InputState::Open;
        }
        if (count <= 0) {
            return InputState::Closed;
        }
        m_held.push_back({std::string(buffer.data(), static_cast<std::size_t>(count)), now});
        m_heldBytes += static_cast<std::size_t>(count);
    }
    return InputState::Full;
}

bool HttpStream::fill()
{
    std::array<char, BufferBytes> buffer;
    const int count = m_socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
    if (count <= 0) {
        return false;
    }
    m_held.push_back({std::string(buffer.data(), static_cast<std::size_t>(count)), TimePoint()});
    m_heldBytes += static_cast<std::size_t>(count);
    return true;
}

std::string_view HttpStream::firstPiece() const
{
    return std::string_view(m_held.front().bytes).substr(m_takenOfFirst);
}

std::string_view HttpStream::heldPiece() const
{
    return m_held.size() == 1 ? firstPiece() : std::string_view();
}

void HttpStream::consume(std::size_t count)
{
    m_heldBytes -= count;
    m_takenOfFirst += count;
    if (m_takenOfFirst == m_held.front().bytes.size()) {
        m_held.pop_front();
        m_takenOfFirst = 0;
    }
}

std::string HttpStream::readHeaderText()
{
    constexpr std::string_view LineEnd = "\r\n";
    constexpr std::string_view SectionEnd = "\r\n\r\n";
    std::string text;
    std::size_t bytes = 0; // Including the empty lines before the section.
    while (!text.ends_with(SectionEnd)) {
        if (!hasHeldInput() && !fill()) {
            if (text.empty()) {
                throw Poco::Net::NoMessageException();
            }
            failTruncated();
        }
        const std::string_view piece = firstPiece();
        std::size_t taken = 0;
        while (taken < piece.size() && !text.ends_with(SectionEnd)) {
            const std::size_t lineFeed = piece.find('\n', taken);
            const std::size_t end = lineFeed == std::string_view::npos ? piece.size() : lineFeed + 1;
            bytes += end - taken;
            if (bytes > MaxHeaderBytes) {
                throw MessageException("the header exceeds the size limit");
            }
            text.append(piece, taken, end - taken);
            taken = end;
            if (lineFeed != std::string_view::npos && !text.ends_with(LineEnd)) {
                throw MessageException("a header line ends without CR");
            }
            if (text == LineEnd) {
                text.clear();
            }
        }
        consume(taken);
    }
    return text;
}

void HttpStream::sendAll(std::string_view bytes, const std::function<void()> &onProgress)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const int count = m_socket.sendBytes(bytes.data() + sent, static_cast<int>(bytes.size() - sent));
        if (count <= 0) {
            throw Poco::Net::ConnectionAbortedException("the remote side closed the connection during a write");
        }
        sent += static_cast<std::size_t>(count);
        onProgress();
    }
}

std::size_t HttpStream::sendAvailable(std::string_view bytes)
{
    const auto count = ::send(m_socket.impl()->sockfd(), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (count >= 0) {
        return static_cast<std::size_t>(count);
    }
    if (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR) {
        return 0;
    }
    throw Poco::Net::ConnectionAbortedException("the remote side closed the connection during a write");
}

Body HttpStream::readBody(std::size_t length, std::size_t maxBytes)
{
    requireWithinLimit(length, maxBytes);
    return readFramed(BodyFraming().withLength(length), maxBytes);
}

Body HttpStream::readChunkedBody(std::size_t maxBytes)
{
    return readFramed(BodyFraming().withIsChunked(true), maxBytes);
}

Body HttpStream::readFramed(const BodyFraming &framing, std::size_t maxBytes)
{
    try {
        return fescuepond::readBody(*this, framing, maxBytes, NoRoom::Wait);
    } catch (const RequestError &error) {
        throw MessageException(error.what());
    }
}

Body HttpStream::readBodyUntilEnd(std::size_t maxBytes)
{
    BodyBuffer body(NoRoom::Wait);
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
    if (!hasHeldInput() && !fill()) {
        return EndOfStream;
    }
    const auto byte = static_cast<unsigned char>(firstPiece().front());
    consume(sizeof(byte));
    return byte;
}

std::size_t HttpStream::readSome(char *bytes, std::size_t count)
{
    if (hasHeldInput()) {
        const std::size_t taken = firstPiece().copy(bytes, count);
        consume(taken);
        return taken;
    }
    const int received = m_socket.receiveBytes(bytes, static_cast<int>(count));
    return received <= 0 ? 0 : static_cast<std::size_t>(received);
}

} // namespace fescuepond
