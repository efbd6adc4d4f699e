// A byte stream between two nodes, compressed with LZ4.

#include "modules/peer/compressedstream.h"

#include <kj/debug.h>

#include <algorithm>
#include <cstring>
#include <utility>
#include <vector>

namespace fescuepond
{

namespace
{

/// Input that is compressed, and output that is decompressed, in one step.
constexpr std::size_t StepBytes = 65'536;
/// While more bytes than this wait to be sent, further writes wait too.
constexpr std::size_t MaxPendingBytes = 65'536;
/// Cap'n Proto's messages without content that only release a resource of the other side have this size; requests and
/// replies are longer.
constexpr std::size_t ControlMessageBytes = 40;

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

CompressedStream::CompressedStream(kj::Own<kj::AsyncIoStream> inner, kj::Timer &timer)
    : CompressedStream(kj::mv(inner))
{
    m_timer = &timer;
}

CompressedStream::~CompressedStream()
{
    if (m_pendingBytes == 0 || m_isWriting || m_writeError != nullptr) {
        return;
    }
    // A write tries to send at once, so what fits into the socket's buffer is still sent. Nobody is left to be told if
    // that fails.
    kj::runCatchingExceptions([this] {
        flush(m_outgoing);
        const auto unfinished = send(std::move(m_outgoing));
    });
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
    KJ_IF_MAYBE (error, m_writeError) {
        return kj::cp(*error);
    }
    std::size_t size = 0;
    for (const auto &piece : pieces) {
        compress(piece, m_outgoing);
        size += piece.size();
    }
    m_pendingBytes += size;
    if (m_timer == nullptr || size > ControlMessageBytes) {
        scheduleFlush();
    } else if (!m_isSending && !m_isFlushDelayed) {
        m_isFlushDelayed = true;
        m_delayedFlush = m_timer->afterDelay(ControlMessageDelay)
                             .then([this] {
                                 m_isFlushDelayed = false;
                                 scheduleFlush();
                             })
                             .eagerlyEvaluate(nullptr);
    }
    if (m_pendingBytes <= MaxPendingBytes) {
        return kj::READY_NOW;
    }
    auto pair = kj::newPromiseAndFulfiller<void>();
    m_waitingWrites.push_back(kj::mv(pair.fulfiller));
    return kj::mv(pair.promise);
}

void CompressedStream::scheduleFlush()
{
    if (m_isSending || m_pendingBytes == 0) {
        return;
    }
    m_isSending = true;
    m_sending = kj::evalLater([this] {
                    return sendPending();
                }).eagerlyEvaluate([this](kj::Exception &&error) {
        m_writeError = kj::mv(error);
        m_isSending = false;
        m_pendingBytes = 0;
        endWaitingWrites();
    });
}

kj::Promise<void> CompressedStream::sendPending()
{
    if (m_pendingBytes == 0) {
        m_isSending = false;
        if (m_isShutDown) {
            m_inner->shutdownWrite();
        }
        return kj::READY_NOW;
    }
    flush(m_outgoing);
    m_pendingBytes = 0;
    m_isWriting = true;
    return send(std::exchange(m_outgoing, {})).then([this] {
        m_isWriting = false;
        endWaitingWrites();
        return sendPending();
    });
}

void CompressedStream::endWaitingWrites()
{
    auto waitingWrites = std::exchange(m_waitingWrites, {});
    for (auto &waiting : waitingWrites) {
        KJ_IF_MAYBE (error, m_writeError) {
            waiting->reject(kj::cp(*error));
        } else {
            waiting->fulfill();
        }
    }
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
    m_isShutDown = true;
    scheduleFlush();
    if (!m_isSending) {
        m_inner->shutdownWrite();
    }
}

void CompressedStream::abortRead()
{
    m_inner->abortRead();
}

} // namespace fescuepond
