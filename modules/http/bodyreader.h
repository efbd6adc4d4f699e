// Reads the body of a request strictly: a body that was cut is never taken for a whole one.
//
// POCO's streams end silently where the connection ends inside a chunk, and take the first of two lengths.

#pragma once

#include "modules/http/httpmessage.h"

#include <cstddef>
#include <exception>
#include <string>
#include <utility>
#include <vector>

namespace fescuepond
{

/// A fault of a request that the caller is told of before its connection is closed.
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
    /// The HTTP status of the answer.
    int status() const
    {
        return m_status;
    }

private:
    const int m_status;
    const char *const m_message;
};

/// Where a body is read from.
class ByteSource
{
public:
    virtual ~ByteSource() = default;
    /// The next byte, 0 to 255, or a negative number at the end of the connection.
    virtual int next() = 0;
    /// Reads up to `count` bytes; 0 at the end of the connection.
    virtual std::size_t readSome(char *bytes, std::size_t count) = 0;
};

/// Header fields in the order in which they came, names repeated.
using HeaderFields = std::vector<std::pair<std::string, std::string>>;

/// How the body of a request is delimited.
class BodyFraming
{
    FESCUEPOND_FIELD(bool, isChunked, withIsChunked);
    FESCUEPOND_FIELD(std::size_t, length, withLength); ///< Unless it is chunked.

public:
    friend auto operator<=>(const BodyFraming &, const BodyFraming &) = default;
};

/// What the header says of the body. A header that two readers could take differently is a RequestError: what one takes
/// for a body, the other might run as a request.
BodyFraming framingOf(const HeaderFields &fields);

/// Reads the whole body; one that is longer than `limit`, malformed or cut is a RequestError.
std::string readBody(ByteSource &source, const BodyFraming &framing, std::size_t limit);

} // namespace fescuepond
