// Finds the end of a request while its bytes arrive.

#include "modules/http/requestscanner.h"

#include <Poco/Net/NetException.h>

#include <algorithm>

namespace fescuepond
{

namespace
{

constexpr int StatusBadRequest = 400;
constexpr int StatusBodyTooLarge = 413;
constexpr int StatusHeaderTooLarge = 431;
/// Of the request line and the separators of header fields.
constexpr std::size_t HeaderOverheadBytes = 16'384;
constexpr std::string_view LineEnd = "\r\n";
constexpr std::string_view SectionEnd = "\r\n\r\n";

RequestHeader parseHeader(const std::string &text)
{
    try {
        return readRequestHeader(text);
    } catch (const Poco::Net::MessageException &) {
        throw RequestError(StatusBadRequest, "the request is not valid HTTP");
    }
}

} // namespace

void RequestScanner::scan(std::string_view bytes)
{
    while (!bytes.empty()) {
        bytes.remove_prefix((this->*m_step)(bytes));
    }
}

std::size_t RequestScanner::scanHeader(std::string_view bytes)
{
    const std::size_t lineFeed = bytes.find('\n');
    const std::size_t count = lineFeed == std::string_view::npos ? bytes.size() : lineFeed + 1;
    if (m_line.size() + count > m_limits.headerBytes + HeaderOverheadBytes) {
        throw RequestError(StatusHeaderTooLarge, "the header exceeds the size limit");
    }
    m_line.append(bytes, 0, count);
    if (isLineWhole() && !m_line.ends_with(LineEnd)) {
        throw RequestError(StatusBadRequest, "the request is not valid HTTP");
    }
    if (m_line == LineEnd) {
        // An empty line before a request is skipped.
        m_line.clear();
    } else if (m_line.ends_with(SectionEnd)) {
        headerEnded();
    }
    return count;
}

void RequestScanner::headerEnded()
{
    const RequestHeader header = parseHeader(m_line);
    const BodyFraming framing = framingOf(header.fields());
    m_expectsContinue = toLower(valueOf(toHeaders(header.fields()), "expect")) == "100-continue";
    m_line.clear();
    if (framing.isChunked()) {
        m_step = &RequestScanner::scanChunkSize;
        return;
    }
    if (framing.length() > m_limits.bodyBytes) {
        throw RequestError(StatusBodyTooLarge, "the body exceeds the size limit");
    }
    m_remaining = framing.length();
    m_step = m_remaining == 0 ? &RequestScanner::ignore : &RequestScanner::scanBodyOfLength;
}

std::size_t RequestScanner::scanBodyOfLength(std::string_view bytes)
{
    const std::size_t count = std::min(m_remaining, bytes.size());
    m_remaining -= count;
    if (m_remaining == 0) {
        m_step = &RequestScanner::ignore;
    }
    return count;
}

std::size_t RequestScanner::scanChunkSize(std::string_view bytes)
{
    const std::size_t count = scanLine(bytes);
    if (!isLineWhole()) {
        return count;
    }
    m_remaining = chunkSize(m_line);
    m_line.clear();
    if (m_remaining > m_limits.bodyBytes - m_bodyBytes) {
        throw RequestError(StatusBodyTooLarge, "the body exceeds the size limit");
    }
    m_bodyBytes += m_remaining;
    m_step = m_remaining == 0 ? &RequestScanner::scanTrailer : &RequestScanner::scanChunk;
    return count;
}

std::size_t RequestScanner::scanChunk(std::string_view bytes)
{
    const std::size_t count = std::min(m_remaining, bytes.size());
    m_remaining -= count;
    if (m_remaining == 0) {
        m_step = &RequestScanner::scanChunkEnd;
    }
    return count;
}

std::size_t RequestScanner::scanChunkEnd(std::string_view bytes)
{
    const std::size_t count = scanLine(bytes);
    if (!LineEnd.starts_with(m_line)) {
        throw RequestError(StatusBadRequest, "a chunk is not followed by CR LF");
    }
    if (isLineWhole()) {
        m_line.clear();
        m_step = &RequestScanner::scanChunkSize;
    }
    return count;
}

std::size_t RequestScanner::scanTrailer(std::string_view bytes)
{
    const std::size_t count = scanLine(bytes);
    if (!isLineWhole()) {
        return count;
    }
    if (m_line == LineEnd) {
        m_step = &RequestScanner::ignore;
    } else if (++m_trailerLines >= MaxTrailerLines) {
        throw RequestError(StatusBadRequest, "the trailer of the chunked body has too many lines");
    }
    m_line.clear();
    return count;
}

std::size_t RequestScanner::ignore(std::string_view bytes)
{
    return bytes.size();
}

std::size_t RequestScanner::scanLine(std::string_view bytes)
{
    const std::size_t lineFeed = bytes.find('\n');
    const std::size_t count = lineFeed == std::string_view::npos ? bytes.size() : lineFeed + 1;
    m_line.append(bytes, 0, count);
    const std::size_t carriageReturn = m_line.find('\r');
    // A line has one carriage return, right before its line feed.
    const bool isMalformed = m_line.size() > MaxBodyLineBytes + LineEnd.size()
        || (isLineWhole() ? !m_line.ends_with(LineEnd) || carriageReturn != m_line.size() - LineEnd.size()
                          : carriageReturn < m_line.size() - 1);
    if (isMalformed) {
        throw RequestError(StatusBadRequest, "a line of the chunked body is malformed");
    }
    return count;
}

} // namespace fescuepond
