// Reads complete HTTP messages from a connection.
//
// POCO's streams treat the end of a connection as the end of a header or of a chunked body, and decode header values.
// These functions use only its sockets, and accept a message only if all of it has arrived.

#pragma once

#include "core/kernel/clock.h"
#include "modules/http/bodyreader.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>

#include <cstddef>
#include <deque>
#include <functional>
#include <string>
#include <string_view>

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

/// What is known of a connection after its input was read ahead.
enum class InputState {
    Open,
    Full, ///< As much is held as was asked for; more input stays with the operating system.
    NoRoom, ///< There is no memory for more input.
    Closed, ///< The remote side has closed the connection or its sending direction.
};

/// Bytes of one connection that are held for requests that were sent before the response to the one before them.
constexpr std::size_t MaxReadAheadBytes = 65'536;

class HttpStream : protected ByteSource
{
public:
    /// The socket itself, for setting time-outs or shutting it down.
    Poco::Net::StreamSocket &stream()
    {
        return m_socket;
    }
    /// Reads and holds what has arrived, without waiting, until MaxReadAheadBytes are held that weren't visited. `now`
    /// is kept as the time of its arrival.
    InputState readAhead(TimePoint now);
    /// Whether readAhead() has found the end of the input.
    bool isInputClosed() const
    {
        return m_isInputClosed;
    }

protected:
    explicit HttpStream(const Poco::Net::StreamSocket &socket)
        : m_socket(socket)
    {
    }

    /// Reads a header section with the empty line that ends it, and skips empty lines before it. Throws
    /// NoMessageException if the connection ends before it, and MessageException if it ends inside it or the section is
    /// too long.
    std::string readHeaderText();
    /// Sends all bytes. `onProgress` is called each time some were sent. Throws a Poco::Exception if it can't.
    void sendAll(
        std::string_view bytes,
        const std::function<void()> &onProgress = [] {});
    /// Sends what the operating system takes without waiting, and returns how many bytes that were.
    std::size_t sendAvailable(std::string_view bytes);
    // These three read the body of a response, and keep its sender waiting if there is no room for it.
    Body readBody(std::size_t length, std::size_t maxBytes);
    Body readChunkedBody(std::size_t maxBytes);
    Body readBodyUntilEnd(std::size_t maxBytes);

    int next() override;
    std::size_t readSome(char *bytes, std::size_t count) override;

    /// Whether bytes are held that were read from the socket and not yet consumed.
    bool hasHeldInput() const
    {
        return !m_held.empty();
    }
    std::size_t heldBytes() const
    {
        return m_heldBytes;
    }
    /// Calls `visit` with the bytes that are held and were not visited before.
    void visitFurtherInput(const std::function<void(std::string_view)> &visit);
    bool hasVisitedInput() const
    {
        return m_visitedBytes > 0;
    }
    /// From now on, no byte counts as visited. To be called before bytes are consumed.
    void restartVisit();
    /// The bytes that are held if they arrived in one piece; empty otherwise.
    std::string_view heldPiece() const;
    /// When the next byte to be consumed was read ahead; TimePoint() if none is held, or if it was read together with
    /// the message before it.
    TimePoint nextReadAheadAt() const
    {
        return m_held.empty() ? TimePoint() : m_held.front().readAt;
    }

private:
    struct Piece {
        std::string bytes; ///< Not empty.
        TimePoint readAt; ///< TimePoint() if it was not read ahead.
        std::size_t charge; ///< Part of m_charge.
    };

    /// Holds bytes that were charged with PieceOverheadBytes.
    void hold(std::string_view bytes, TimePoint now);
    /// Waits for input and holds it; false at the end of the stream.
    bool fill();
    std::string_view firstPiece() const;
    /// Removes bytes from the first piece.
    void consume(std::size_t count);

    /// Throws MessageException where readBody() of bodyreader.h throws a RequestError.
    Body readFramed(const BodyFraming &framing, std::size_t maxBytes);

    Poco::Net::StreamSocket m_socket;
    std::deque<Piece> m_held; ///< In order of arrival.
    std::size_t m_heldBytes = 0; ///< Not yet consumed of m_held.
    BodyCharge m_charge; ///< Of what was read ahead and is held.
    bool m_isInputClosed = false;
    std::size_t m_visitedPieces = 0; ///< Pieces of m_held that were visited as a whole.
    std::size_t m_visitedOfPiece = 0; ///< Bytes visited of the piece behind these, or before the first unvisited one.
    std::size_t m_visitedBytes = 0;
    std::size_t m_takenOfFirst = 0; ///< Bytes consumed of the first piece of m_held; less than its size.
};

} // namespace fescuepond
