// Strict reading of message bodies: a truncated body is an error and is never taken for a complete one.
//
// POCO's streams report a normal end if the connection closes inside a chunk, and accept two Content-Length headers by
// using the first.

#pragma once

#include "core/kernel/clock.h"
#include "modules/http/httpmessage.h"
#include "modules/http/messageheader.h"

#include <chrono>
#include <cstddef>
#include <exception>
#include <optional>
#include <string>

namespace fescuepond
{

/// A malformed or oversized request. The caller gets an error response before its connection is closed.
class RequestError : public std::exception
{
public:
    RequestError(int status, const char *message)
        : m_status(status)
        , m_message(message)
    {
    }
    const char *what() const noexcept override
    {
        return m_message;
    }
    /// The HTTP status of the error response.
    int status() const
    {
        return m_status;
    }

private:
    const int m_status;
    const char *const m_message;
};

/// The byte stream that a body is read from.
class ByteSource
{
public:
    virtual ~ByteSource() = default;
    /// The next byte, 0 to 255, or a negative number at the end of the stream.
    virtual int next() = 0;
    /// Reads up to `count` bytes and returns how many; 0 at the end of the stream.
    virtual std::size_t readSome(char *bytes, std::size_t count) = 0;
};

/// What a body does that finds no room in the memory for bodies.
enum class NoRoom {
    GiveUp,
    Wait, ///< Its sender is kept waiting for MaxRoomWait at most. Not for a thread that others wait for.
};

/// For how long a body waits for room, from the first time that it finds none.
constexpr Duration MaxRoomWait = std::chrono::seconds(2);
/// Until a body that waits for room tries again.
constexpr Duration RoomRetryPause = std::chrono::milliseconds(20);

/// A body that is being read. Its bytes are charged before they are taken in.
class BodyBuffer
{
public:
    explicit BodyBuffer(NoRoom noRoom)
        : m_noRoom(noRoom)
    {
    }
    /// Throws BodyMemoryExceeded if there is no room.
    void append(const char *bytes, std::size_t count);
    /// Prepares for a body of this size. One that may wait is charged as a whole, so that bodies that have arrived in
    /// part don't wait for each other.
    void expect(std::size_t bytes);
    std::size_t size() const
    {
        return m_bytes.size();
    }
    /// The body, which must be complete.
    Body take();

private:
    void charge(std::size_t bytes);

    const NoRoom m_noRoom;
    std::optional<std::chrono::steady_clock::time_point> m_giveUpAt; ///< Set once there was no room.
    std::string m_bytes;
    BodyCharge m_charge; ///< Of at least the size of m_bytes.
};

/// Reading of a body was given up, since all bodies together take too much memory.
class BodyMemoryExceeded final : public RequestError
{
public:
    BodyMemoryExceeded();
};

/// How the body of a message is delimited.
class BodyFraming
{
    FESCUEPOND_FIELD(bool, isChunked, withIsChunked);
    FESCUEPOND_FIELD(std::size_t, length, withLength); ///< In bytes; unused if chunked.

public:
    friend auto operator<=>(const BodyFraming &, const BodyFraming &) = default;
};

/// Determines the framing of the body from the header. Throws a RequestError if the header is ambiguous, which prevents
/// request smuggling: bytes that one implementation takes for a body, another might run as a request.
BodyFraming framingOf(const HeaderFields &fields);

/// Applies to the line with a chunk's size and extensions, and to each trailer line; without the line's end.
constexpr std::size_t MaxBodyLineBytes = 1024;
constexpr std::size_t MaxTrailerLines = 64;

/// The size of a chunk from its first line. Throws a RequestError if it isn't a hexadecimal number.
std::size_t chunkSize(const std::string &line);

/// Reads the whole body. Throws a RequestError if it is longer than `limit` bytes, malformed or truncated.
Body readBody(ByteSource &source, const BodyFraming &framing, std::size_t limit, NoRoom noRoom);

} // namespace fescuepond
