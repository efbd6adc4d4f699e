// Finds the end of a request while its bytes arrive.
//
// A request is read only once all of its bytes are held, so that no thread waits for its sender. The scanner keeps the
// header section, a line of a chunked body at most, and nothing of the body.

#pragma once

#include "modules/http/bodyreader.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace fescuepond
{

/// What a request may have at most, in bytes.
struct RequestLimits {
    std::size_t headerBytes; ///< Names and values of the header fields.
    std::size_t bodyBytes;
};

class RequestScanner
{
public:
    explicit RequestScanner(RequestLimits limits)
        : m_limits(limits)
    {
    }

    /// Scans further bytes of the request. Throws a RequestError if they can't belong to one, or exceed a limit.
    void scan(std::string_view bytes);
    /// Whether the whole request was scanned. Bytes behind it are ignored.
    bool isWhole() const
    {
        return m_step == &RequestScanner::ignore;
    }
    /// Whether the header section was scanned.
    bool hasHeader() const
    {
        return m_step != &RequestScanner::scanHeader;
    }
    /// Whether the sender waits to be told to send the body.
    bool expectsContinue() const
    {
        return m_expectsContinue;
    }

private:
    /// Scans bytes of one part of the request and returns how many; at least one.
    using Step = std::size_t (RequestScanner::*)(std::string_view bytes);

    std::size_t scanHeader(std::string_view bytes);
    std::size_t scanBodyOfLength(std::string_view bytes);
    std::size_t scanChunkSize(std::string_view bytes);
    std::size_t scanChunk(std::string_view bytes);
    std::size_t scanChunkEnd(std::string_view bytes);
    std::size_t scanTrailer(std::string_view bytes);
    std::size_t ignore(std::string_view bytes);

    void headerEnded();
    /// Appends to m_line up to the end of a line. Returns how many bytes were scanned; the line is whole if it ends
    /// with a line feed.
    std::size_t scanLine(std::string_view bytes);
    bool isLineWhole() const
    {
        return m_line.ends_with('\n');
    }

    RequestLimits m_limits;
    Step m_step = &RequestScanner::scanHeader;
    std::string m_line; ///< The header section so far, or the current line of a chunked body.
    std::size_t m_remaining = 0; ///< Bytes missing of the body or the chunk.
    std::size_t m_bodyBytes = 0; ///< Of the chunks so far.
    std::size_t m_trailerLines = 0;
    bool m_expectsContinue = false;
};

} // namespace fescuepond
