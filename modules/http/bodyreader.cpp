// Strict reading of message bodies.

#include "modules/http/bodyreader.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <thread>

namespace fescuepond
{

namespace
{

constexpr int StatusBadRequest = 400;
constexpr int StatusBodyTooLarge = 413;
constexpr int StatusUnavailable = 503;
constexpr int Hexadecimal = 16;
constexpr std::size_t BufferBytes = 16'384;

std::size_t parseNumber(const std::string &text, int base, const char *message)
{
    std::size_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, base);
    const bool isWhole = !text.empty() && error == std::errc() && end == text.data() + text.size();
    if (!isWhole) {
        throw RequestError(StatusBadRequest, message);
    }
    return number;
}

char nextByte(ByteSource &source)
{
    const int byte = source.next();
    if (byte < 0) {
        throw RequestError(StatusBadRequest, "the body is shorter than declared");
    }
    return static_cast<char>(byte);
}

/// Reads a line terminated by CR LF and returns it without them.
std::string readLine(ByteSource &source)
{
    std::string line;
    while (line.size() <= MaxBodyLineBytes) {
        const char byte = nextByte(source);
        if (byte == '\r') {
            if (nextByte(source) != '\n') {
                break;
            }
            return line;
        }
        line += byte;
    }
    throw RequestError(StatusBadRequest, "a line of the chunked body is malformed");
}

void appendBytes(ByteSource &source, std::size_t count, BodyBuffer &body)
{
    std::array<char, BufferBytes> buffer;
    while (count > 0) {
        const std::size_t received = source.readSome(buffer.data(), std::min(count, buffer.size()));
        if (received == 0) {
            throw RequestError(StatusBadRequest, "the body is shorter than declared");
        }
        body.append(buffer.data(), received);
        count -= received;
    }
}

void skipTrailer(ByteSource &source)
{
    for (std::size_t i = 0; i < MaxTrailerLines; ++i) {
        if (readLine(source).empty()) {
            return;
        }
    }
    throw RequestError(StatusBadRequest, "the trailer of the chunked body has too many lines");
}

Body readChunked(ByteSource &source, std::size_t limit, NoRoom noRoom)
{
    BodyBuffer body(noRoom);
    while (true) {
        const std::size_t length = chunkSize(readLine(source));
        if (length == 0) {
            skipTrailer(source);
            return body.take();
        }
        if (length > limit - body.size()) {
            throw RequestError(StatusBodyTooLarge, "the body exceeds the size limit");
        }
        appendBytes(source, length, body);
        if (!readLine(source).empty()) {
            throw RequestError(StatusBadRequest, "a chunk is not followed by CR LF");
        }
    }
}

} // namespace

void BodyBuffer::append(const char *bytes, std::size_t count)
{
    const std::size_t size = m_bytes.size() + count;
    if (size > m_charge.bytes()) {
        charge(size - m_charge.bytes());
    }
    m_bytes.append(bytes, count);
}

void BodyBuffer::expect(std::size_t bytes)
{
    if (m_noRoom == NoRoom::Wait) {
        charge(bytes);
    }
    // Memory is used only as bytes arrive.
    m_bytes.reserve(bytes);
}

Body BodyBuffer::take()
{
    return Body(std::move(m_bytes), std::move(m_charge));
}

void BodyBuffer::charge(std::size_t bytes)
{
    while (!m_charge.add(bytes)) {
        const auto now = std::chrono::steady_clock::now();
        m_giveUpAt = m_giveUpAt.value_or(now + MaxRoomWait);
        if (m_noRoom == NoRoom::GiveUp || now >= *m_giveUpAt) {
            throw BodyMemoryExceeded();
        }
        std::this_thread::sleep_for(RoomRetryPause);
    }
}

BodyMemoryExceeded::BodyMemoryExceeded()
    : RequestError(StatusUnavailable, "the bodies of all requests and responses take too much memory")
{
}

BodyFraming framingOf(const HeaderFields &fields)
{
    constexpr int Decimal = 10;
    std::optional<std::size_t> length;
    bool isChunked = false;
    for (const auto &[name, value] : fields) {
        const std::string lower = toLower(name);
        if (lower == "transfer-encoding") {
            if (isChunked || toLower(value) != "chunked") {
                throw RequestError(StatusBadRequest,
                                   "unsupported Transfer-Encoding; only a single chunked is accepted");
            }
            isChunked = true;
        }
        if (lower == "content-length") {
            if (length) {
                throw RequestError(StatusBadRequest, "more than one Content-Length header");
            }
            length = parseNumber(value, Decimal, "Content-Length is not a number");
        }
    }
    if (isChunked && length) {
        throw RequestError(StatusBadRequest, "the request has both Content-Length and Transfer-Encoding");
    }
    return BodyFraming().withIsChunked(isChunked).withLength(length.value_or(0));
}

std::size_t chunkSize(const std::string &line)
{
    const std::string digits = line.substr(0, line.find_first_of("; \t\r"));
    return parseNumber(digits, Hexadecimal, "the size of a chunk is not a hexadecimal number");
}

Body readBody(ByteSource &source, const BodyFraming &framing, std::size_t limit, NoRoom noRoom)
{
    if (framing.isChunked()) {
        return readChunked(source, limit, noRoom);
    }
    if (framing.length() > limit) {
        throw RequestError(StatusBodyTooLarge, "the body exceeds the size limit");
    }
    BodyBuffer body(noRoom);
    body.expect(framing.length());
    appendBytes(source, framing.length(), body);
    return body.take();
}

} // namespace fescuepond
