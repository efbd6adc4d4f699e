// A byte stream between two nodes, compressed with LZ4.

#include "modules/peer/compressedstream.h"

#include <kj/debug.h>

#include <algorithm>
#include <cstring>
#include <vector>

namespace fescuepond
{

namespace
{

/// Input that is compressed, and output that is decompressed, in one step.
constexpr std::size_t StepBytes = 65'536;

LZ4F_preferences_t preferences()
{
    LZ4F_preferences_t result = LZ4F_INIT_PREFERENCES;
    result.frameInfo.blockMode = LZ4F_blockLinked;
    result.frameInfo.blockSizeID = LZ4F_max64KB;
    return result;
}

/// Returns the size that an LZ4 function returned. Throws if it is an error code.
std::size_t checked(std::size_t result)
{
    KJ_REQUIRE(!LZ4F_isError(result), "the compressed stream between nodes is corrupt", LZ4F_getErrorName(result));
    return result;
}

/// Room for the output of one step. All streams of a thread share it, since a step is never interrupted: a buffer of
/// each message's own would have to be filled with zeros first, which costs more than the step itself.
std::vector<kj::byte> &stepOutput()
{
    static const std::size_t size = [] {
        const LZ4F_preferences_t frameOptions = preferences();
        return std::max(StepBytes, LZ4F_compressBound(StepBytes, &frameOptions));
    }();
    thread_local std::vector<kj::byte> output(size);
    return output;
}

void append(std::string &result, const std::vector<kj::byte> &bytes, std::size_t count)
{
    result.append(reinterpret_cast<const char *>(bytes.data()), count);
}

} // namespace

CompressedStream::CompressedStream(kj::Own<kj::AsyncIoStream> inner)
    : m_inner(kj::mv(inner))
{
    LZ4F_cctx *compression = nullptr;
    checked(LZ4F_createCompressionContext(&compression, LZ4F_VERSION));
    m_compression.reset(compression);
    LZ4F_dctx *decompression = nullptr;
    checked(LZ4F_createDecompressionContext(&decompression, LZ4F_VERSION));
    m_decompression.reset(decompression);
}

void CompressedStream::compress(kj::ArrayPtr<const kj::byte> bytes, std::string &result)
{
    std::vector<kj::byte> &output = stepOutput();
    if (!m_isFrameHeaderWritten) {
        const LZ4F_preferences_t frameOptions = preferences();
        append(result,
               output,
               checked(LZ4F_compressBegin(m_compression.get(), output.data(), output.size(), &frameOptions)));
        m_isFrameHeaderWritten = true;
    }
    while (bytes.size() > 0) {
        const std::size_t count = std::min(bytes.size(), StepBytes);
        append(result,
               output,
               checked(LZ4F_compressUpdate(
                   m_compression.get(), output.data(), output.size(), bytes.begin(), count, nullptr)));
        bytes = bytes.slice(count, bytes.size());
    }
}

void CompressedStream::flush(std::string &result)
{
    std::vector<kj::byte> &output = stepOutput();
    append(result, output, checked(LZ4F_flush(m_compression.get(), output.data(), output.size(), nullptr)));
}

kj::Promise<void> CompressedStream::send(std::string bytes)
{
    auto buffer = kj::heap<std::string>(std::move(bytes));
    auto written = m_inner->write(buffer->data(), buffer->size());
    return written.attach(kj::mv(buffer));
}

kj::Promise<void> CompressedStream::write(const void *buffer, size_t size)
{
    const kj::ArrayPtr<const kj::byte> piece(static_cast<const kj::byte *>(buffer), size);
    return write(kj::arrayPtr(&piece, 1));
}

kj::Promise<void> CompressedStream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces)
{
    std::string bytes;
    for (const auto &piece : pieces) {
        compress(piece, bytes);
    }
    flush(bytes);
    return send(std::move(bytes));
}

kj::Promise<size_t> CompressedStream::tryRead(void *buffer, size_t minBytes, size_t maxBytes)
{
    return continueRead(static_cast<kj::byte *>(buffer), minBytes, maxBytes, 0);
}

kj::Promise<size_t> CompressedStream::continueRead(kj::byte *buffer, size_t minBytes, size_t maxBytes, size_t done)
{
    const std::size_t copied = std::min(maxBytes - done, m_decompressed.size() - m_decompressedPosition);
    std::memcpy(buffer + done, m_decompressed.data() + m_decompressedPosition, copied);
    m_decompressedPosition += copied;
    done += copied;
    if (m_decompressedPosition == m_decompressed.size()) {
        m_decompressed.clear();
        m_decompressedPosition = 0;
    }
    if (done >= minBytes) {
        return done;
    }
    return m_inner->tryRead(m_compressed.data(), 1, m_compressed.size())
        .then([this, buffer, minBytes, maxBytes, done](size_t count) -> kj::Promise<size_t> {
            if (count == 0) {
                return done;
            }
            decompress(count);
            return continueRead(buffer, minBytes, maxBytes, done);
        });
}

void CompressedStream::decompress(std::size_t count)
{
    std::vector<kj::byte> &output = stepOutput();
    std::size_t at = 0;
    std::size_t produced = output.size();
    // If the output was filled, the library may hold more.
    while (at < count || produced == output.size()) {
        produced = output.size();
        std::size_t consumed = count - at;
        checked(LZ4F_decompress(
            m_decompression.get(), output.data(), &produced, m_compressed.data() + at, &consumed, nullptr));
        append(m_decompressed, output, produced);
        at += consumed;
        if (consumed == 0 && produced == 0) {
            return;
        }
    }
}

kj::Promise<void> CompressedStream::whenWriteDisconnected()
{
    return m_inner->whenWriteDisconnected();
}

void CompressedStream::shutdownWrite()
{
    m_inner->shutdownWrite();
}

void CompressedStream::abortRead()
{
    m_inner->abortRead();
}

} // namespace fescuepond
