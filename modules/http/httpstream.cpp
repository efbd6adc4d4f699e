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
/// What a piece of held input takes besides its bytes.
constexpr std::size_t PieceOverheadBytes = 128;
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
    while (m_heldBytes < m_visitedBytes + MaxReadAheadBytes) {
        const std::size_t limit = std::min(buffer.size(), m_visitedBytes + MaxReadAheadBytes - m_heldBytes);
        if (!m_charge.add(limit + PieceOverheadBytes)) {
            return InputState::NoRoom;
        }
        const auto received = ::recv(m_socket.impl()->sockfd(), buffer.data(), limit, MSG_DONTWAIT);
        const std::size_t count = received > 0 ? static_cast<std::size_t>(received) : 0;
        m_charge.release(limit - count);
        if (count == 0) {
            m_charge.release(PieceOverheadBytes);
            const bool isOpen = received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
            m_isInputClosed = !isOpen;
            return isOpen ? InputState::Open : InputState::Closed;
        }
        hold(std::string_view(buffer.data(), count), now);
    }
    return InputState::Full;
}

void HttpStream::hold(std::string_view bytes, TimePoint now)
{
    m_heldBytes += bytes.size();
    // Of a request that arrives in many small pieces, a few large ones are kept.
    const bool isAppended = m_visitedBytes > 0 && m_held.back().bytes.size() + bytes.size() <= BufferBytes;
    if (isAppended) {
        m_held.back().bytes.append(bytes);
        m_held.back().charge += bytes.size();
        m_charge.release(PieceOverheadBytes);
        return;
    }
    m_held.push_back({std::string(bytes), now, bytes.size() + PieceOverheadBytes});
}

void HttpStream::visitFurtherInput(const std::function<void(std::string_view)> &visit)
{
    while (m_visitedPieces < m_held.size()) {
        const std::string_view piece = m_held[m_visitedPieces].bytes;
        const std::string_view further = piece.substr(m_visitedOfPiece);
        m_visitedOfPiece = piece.size();
        m_visitedBytes += further.size();
        if (!further.empty()) {
            visit(further);
        }
        if (m_visitedPieces + 1 == m_held.size()) {
            return;
        }
        ++m_visitedPieces;
        m_visitedOfPiece = 0;
    }
}

void HttpStream::restartVisit()
{
    m_visitedPieces = 0;
    m_visitedOfPiece = m_takenOfFirst;
    m_visitedBytes = 0;
}

bool HttpStream::fill()
{
    std::array<char, BufferBytes> buffer;
    const int count = m_socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
    if (count <= 0) {
        return false;
    }
    m_held.push_back({std::string(buffer.data(), static_cast<std::size_t>(count)), TimePoint(), 0});
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
        m_charge.release(m_held.front().charge);
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
