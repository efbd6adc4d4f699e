// A byte stream between two nodes, compressed with LZ4.

#include "modules/peer/compressedstream.h"

#include <kj/debug.h>

#include <algorithm>
#include <cstring>

namespace fescuepond
{

namespace
{

/// Size of the blocks in which output is decompressed. LZ4's maximum ratio of 255 bounds the output for one read.
constexpr std::size_t DecompressBufferBytes = 65'536;

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
    const LZ4F_preferences_t frameOptions = preferences();
    if (!m_isFrameHeaderWritten) {
        const std::size_t at = result.size();
        result.resize(at + LZ4F_HEADER_SIZE_MAX);
        result.resize(at
                      + checked(LZ4F_compressBegin(
                          m_compression.get(), result.data() + at, LZ4F_HEADER_SIZE_MAX, &frameOptions)));
        m_isFrameHeaderWritten = true;
    }
    const std::size_t at = result.size();
    const std::size_t bound = LZ4F_compressBound(bytes.size(), &frameOptions);
    result.resize(at + bound);
    result.resize(at
                  + checked(LZ4F_compressUpdate(
                      m_compression.get(), result.data() + at, bound, bytes.begin(), bytes.size(), nullptr)));
}

void CompressedStream::flush(std::string &result)
{
    const LZ4F_preferences_t frameOptions = preferences();
    const std::size_t at = result.size();
    const std::size_t bound = LZ4F_compressBound(0, &frameOptions);
    result.resize(at + bound);
    result.resize(at + checked(LZ4F_flush(m_compression.get(), result.data() + at, bound, nullptr)));
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
    std::size_t at = 0;
    std::size_t produced = DecompressBufferBytes;
    // If the block was filled, the library may hold more output.
    while (at < count || produced == DecompressBufferBytes) {
        const std::size_t end = m_decompressed.size();
        m_decompressed.resize(end + DecompressBufferBytes);
        produced = DecompressBufferBytes;
        std::size_t consumed = count - at;
        const std::size_t result = LZ4F_decompress(m_decompression.get(),
                                                   m_decompressed.data() + end,
                                                   &produced,
                                                   m_compressed.data() + at,
                                                   &consumed,
                                                   nullptr);
        m_decompressed.resize(end + produced);
        checked(result);
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
