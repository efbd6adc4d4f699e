// A byte stream between two nodes, compressed with LZ4 because traffic between availability zones is expensive.
//
// Each direction is one LZ4 frame for the whole connection, so that names and headers repeated from earlier messages
// compress well. What is written while the event loop handles the events that are due is compressed, flushed and sent
// together right after them, so no message waits for a timer. Exceptions are messages that only release resources of
// the other side: they wait for the next one, for at most ControlMessageDelay.

#pragma once

#include <kj/async-io.h>
#include <kj/timer.h>
#include <lz4frame.h>

#include <array>
#include <memory>
#include <string>
#include <vector>

namespace fescuepond
{

/// Long, since on most connections of a large fleet a call is followed by nothing for a while: a message of its own for
/// the release, and a timer for it, would cost both nodes a third of the system calls of a call.
constexpr kj::Duration ControlMessageDelay = 10 * kj::SECONDS;

class CompressedStream final : public kj::AsyncIoStream
{
public:
    explicit CompressedStream(kj::Own<kj::AsyncIoStream> inner);
    /// With `timer`, control messages are delayed.
    CompressedStream(kj::Own<kj::AsyncIoStream> inner, kj::Timer &timer);
    ~CompressedStream();
    KJ_DISALLOW_COPY(CompressedStream);

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
    void scheduleFlush();
    /// Sends what has been written so far, and what is written meanwhile.
    kj::Promise<void> sendPending();
    /// Fulfils or rejects the writes that wait for room.
    void endWaitingWrites();
    kj::Promise<size_t> continueRead(kj::byte *buffer, size_t minBytes, size_t maxBytes, size_t done);
    void decompress(std::size_t count);

    kj::Own<kj::AsyncIoStream> m_inner;
    std::unique_ptr<LZ4F_cctx, FreeCompression> m_compression;
    std::unique_ptr<LZ4F_dctx, FreeDecompression> m_decompression;
    bool m_isFrameHeaderWritten = false; ///< Of the outgoing frame.
    std::array<kj::byte, ReadBytes> m_compressed; ///< Bytes read from m_inner.
    std::string m_decompressed; ///< Bytes not read yet start at m_decompressedPosition.
    std::size_t m_decompressedPosition = 0;

    kj::Timer *m_timer = nullptr;
    std::string m_outgoing; ///< Compressed and not sent; LZ4 may hold more.
    std::size_t m_pendingBytes = 0; ///< Written since the latest flush, before compression.
    bool m_isSending = false; ///< sendPending() is scheduled or runs.
    bool m_isWriting = false; ///< A write to m_inner has not ended.
    bool m_isShutDown = false;
    kj::Maybe<kj::Exception> m_writeError;
    std::vector<kj::Own<kj::PromiseFulfiller<void>>> m_waitingWrites;
    kj::Promise<void> m_sending = nullptr;
    kj::Promise<void> m_delayedFlush = nullptr;
    bool m_isFlushDelayed = false;
};

} // namespace fescuepond
