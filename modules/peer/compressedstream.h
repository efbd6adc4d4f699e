// A byte stream between two nodes, compressed with LZ4 because traffic between availability zones is expensive.
//
// Each direction is one LZ4 frame for the whole connection, so that names and headers repeated from earlier messages
// compress well. It is flushed after each write so that no message is delayed.

#pragma once

#include <kj/async-io.h>
#include <lz4frame.h>

#include <array>
#include <memory>
#include <string>

namespace fescuepond
{

class CompressedStream final : public kj::AsyncIoStream
{
public:
    explicit CompressedStream(kj::Own<kj::AsyncIoStream> inner);

    kj::Promise<size_t> tryRead(void *buffer, size_t minBytes, size_t maxBytes) override;
    kj::Promise<void> write(const void *buffer, size_t size) override;
    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
    kj::Promise<void> whenWriteDisconnected() override;
    void shutdownWrite() override;
    void abortRead() override;

private:
    struct FreeCompression {
        void operator()(LZ4F_cctx *context) const
        {
            LZ4F_freeCompressionContext(context);
        }
    };
    struct FreeDecompression {
        void operator()(LZ4F_dctx *context) const
        {
            LZ4F_freeDecompressionContext(context);
        }
    };
    static constexpr std::size_t ReadBytes = 16'384;

    void compress(kj::ArrayPtr<const kj::byte> bytes, std::string &result);
    void flush(std::string &result);
    kj::Promise<void> send(std::string bytes);
    kj::Promise<size_t> continueRead(kj::byte *buffer, size_t minBytes, size_t maxBytes, size_t done);
    void decompress(std::size_t count);

    kj::Own<kj::AsyncIoStream> m_inner;
    std::unique_ptr<LZ4F_cctx, FreeCompression> m_compression;
    std::unique_ptr<LZ4F_dctx, FreeDecompression> m_decompression;
    bool m_isFrameHeaderWritten = false; ///< Of the outgoing frame.
    std::array<kj::byte, ReadBytes> m_compressed; ///< Bytes read from m_inner.
    std::string m_decompressed; ///< Bytes not read yet start at m_decompressedPosition.
    std::size_t m_decompressedPosition = 0;
};

} // namespace fescuepond
