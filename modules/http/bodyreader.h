// Strict reading of message bodies: a truncated body is an error and is never taken for a complete one.
//
// POCO's streams report a normal end if the connection closes inside a chunk, and accept two Content-Length headers by
// using the first.

#pragma once

#include "modules/http/httpmessage.h"
#include "modules/http/messageheader.h"

#include <cstddef>
#include <exception>
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

/// A body that is being read. Its bytes count towards the memory that all bodies take.
class BodyBuffer
{
public:
    /// Throws BodyMemoryExceeded if the body is large and all bodies together are over their limit.
    void append(const char *bytes, std::size_t count);
    /// Avoids copies while the buffer grows. Memory is used only as bytes arrive.
    void expect(std::size_t bytes)
    {
        m_bytes.reserve(bytes);
    }
    std::size_t size() const
    {
        return m_bytes.size();
    }
    std::string take()
    {
        return std::move(m_bytes);
    }

private:
    std::string m_bytes;
    BodyCharge m_charge; ///< Of the size of m_bytes, until the buffer ends.
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

/// Reads the whole body. Throws a RequestError if it is longer than `limit` bytes, malformed or truncated.
std::string readBody(ByteSource &source, const BodyFraming &framing, std::size_t limit);

} // namespace fescuepond
