// Tests of the compressed stream between nodes.
//
// They guard against bytes that are lost, reordered or held in a buffer when writes and reads have different sizes, and
// against corrupt input being read as data.

#include "modules/peer/compressedstream.h"

#include <kj/vector.h>

#include <gtest/gtest.h>

#include <array>
#include <random>
#include <string>

namespace fescuepond
{

namespace
{

/// An in-memory connection and its event loop.
struct Connection {
    std::string read(kj::AsyncIoStream &stream, std::size_t count)
    {
        std::string bytes(count, '\0');
        bytes.resize(stream.tryRead(bytes.data(), count, count).wait(m_io.waitScope));
        return bytes;
    }

    kj::AsyncIoContext m_io = kj::setupAsyncIo();
    kj::TwoWayPipe m_pipe = m_io.provider->newTwoWayPipe();
};

/// Counts the writes to a stream.
class CountingStream final : public kj::AsyncIoStream
{
public:
    CountingStream(kj::Own<kj::AsyncIoStream> inner, int &writes)
        : m_inner(kj::mv(inner))
        , m_writes(writes)
    {
    }
    kj::Promise<size_t> tryRead(void *buffer, size_t minBytes, size_t maxBytes) override
    {
        return m_inner->tryRead(buffer, minBytes, maxBytes);
    }
    kj::Promise<void> write(const void *buffer, size_t size) override
    {
        ++m_writes;
        return m_inner->write(buffer, size);
    }
    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override
    {
        ++m_writes;
        return m_inner->write(pieces);
    }
    kj::Promise<void> whenWriteDisconnected() override
    {
        return m_inner->whenWriteDisconnected();
    }
    void shutdownWrite() override
    {
        m_inner->shutdownWrite();
    }

private:
    kj::Own<kj::AsyncIoStream> m_inner;
    int &m_writes;
};

} // namespace

TEST(CompressedStream, AllBytesArriveInOrderForAnySizeOfWritesAndReads)
{
    Connection connection;
    CompressedStream sender(kj::mv(connection.m_pipe.ends[0]));
    CompressedStream receiver(kj::mv(connection.m_pipe.ends[1]));
    std::mt19937 random(20261204);
    for (const std::size_t size : {1U, 100U, 5000U, 70'000U, 400'000U}) {
        std::string bytes(size, 'x');
        for (std::size_t i = 0; i < size; i += 1 + random() % 3) {
            bytes[i] = static_cast<char>(random());
        }
        auto written = sender.write(bytes.data(), bytes.size());
        std::string received = connection.read(receiver, size / 3);
        received += connection.read(receiver, size - size / 3);
        EXPECT_TRUE(received == bytes) << size;
        written.wait(connection.m_io.waitScope);
    }
}

TEST(CompressedStream, EachWriteIsFlushed)
{
    Connection connection;
    CompressedStream sender(kj::mv(connection.m_pipe.ends[0]));
    CompressedStream receiver(kj::mv(connection.m_pipe.ends[1]));
    for (const std::string message : {"a", "second", "third"}) {
        auto written = sender.write(message.data(), message.size());
        EXPECT_EQ(connection.read(receiver, message.size()), message);
        written.wait(connection.m_io.waitScope);
    }
}

TEST(CompressedStream, MessagesWrittenInOneTurnOfTheEventLoopAreSentTogether)
{
    constexpr std::size_t Messages = 10;
    Connection connection;
    int writes = 0;
    CompressedStream sender(kj::heap<CountingStream>(kj::mv(connection.m_pipe.ends[0]), writes));
    CompressedStream receiver(kj::mv(connection.m_pipe.ends[1]));
    const std::string message = "a message that is long enough to be no control message";
    kj::Vector<kj::Promise<void>> written;
    for (std::size_t i = 0; i < Messages; ++i) {
        written.add(sender.write(message.data(), message.size()));
    }
    EXPECT_EQ(connection.read(receiver, Messages * message.size()).size(), Messages * message.size());
    EXPECT_EQ(writes, 1);
}

TEST(CompressedStream, ControlMessageIsSentWithTheNextMessageOrAfterItsDelay)
{
    Connection connection;
    kj::TimerImpl timer(kj::origin<kj::TimePoint>());
    CompressedStream sender(kj::mv(connection.m_pipe.ends[0]), timer);
    CompressedStream receiver(kj::mv(connection.m_pipe.ends[1]));
    const std::string control(40, 'c');
    const std::string request(41, 'r');
    sender.write(control.data(), control.size()).wait(connection.m_io.waitScope);
    std::string received(control.size() + request.size(), '\0');
    auto read = receiver.tryRead(received.data(), received.size(), received.size());
    EXPECT_FALSE(read.poll(connection.m_io.waitScope));
    sender.write(request.data(), request.size()).wait(connection.m_io.waitScope);
    EXPECT_EQ(read.wait(connection.m_io.waitScope), received.size());
    EXPECT_EQ(received, control + request);
    // The first delay ends without anything to send.
    auto last = receiver.tryRead(received.data(), control.size(), control.size());
    timer.advanceTo(timer.now() + ControlMessageDelay);
    EXPECT_FALSE(last.poll(connection.m_io.waitScope));
    sender.write(control.data(), control.size()).wait(connection.m_io.waitScope);
    EXPECT_FALSE(last.poll(connection.m_io.waitScope));
    timer.advanceTo(timer.now() + ControlMessageDelay);
    EXPECT_EQ(last.wait(connection.m_io.waitScope), control.size());
}

TEST(CompressedStream, BytesWrittenRightBeforeTheEndOfTheStreamArrive)
{
    Connection connection;
    CompressedStream receiver(kj::mv(connection.m_pipe.ends[1]));
    std::string received(3, '\0');
    auto read = receiver.tryRead(received.data(), received.size(), received.size());
    EXPECT_FALSE(read.poll(connection.m_io.waitScope));
    {
        CompressedStream sender(kj::mv(connection.m_pipe.ends[0]));
        sender.write("abc", 3).wait(connection.m_io.waitScope);
    }
    EXPECT_EQ(read.wait(connection.m_io.waitScope), received.size());
    EXPECT_EQ(received, "abc");
}

TEST(CompressedStream, RepeatedMessagesAreCompressedBetter)
{
    Connection connection;
    CompressedStream sender(kj::mv(connection.m_pipe.ends[0]));
    const std::string message = "accept:*/*|accept-encoding:identity|user-agent:sdk-client/1.9.3|content-type:a/b";
    std::array<char, 4096> first{};
    std::array<char, 4096> second{};
    auto written = sender.write(message.data(), message.size());
    const auto firstSize =
        connection.m_pipe.ends[1]->tryRead(first.data(), 1, first.size()).wait(connection.m_io.waitScope);
    written.wait(connection.m_io.waitScope);
    auto again = sender.write(message.data(), message.size());
    const auto secondSize =
        connection.m_pipe.ends[1]->tryRead(second.data(), 1, second.size()).wait(connection.m_io.waitScope);
    again.wait(connection.m_io.waitScope);
    EXPECT_LT(secondSize, firstSize / 2);
}

TEST(CompressedStream, InputThatIsNoLz4FrameIsAnError)
{
    Connection connection;
    CompressedStream receiver(kj::mv(connection.m_pipe.ends[1]));
    const std::string garbage = "this is no frame at all";
    auto written = connection.m_pipe.ends[0]->write(garbage.data(), garbage.size());
    EXPECT_THROW(connection.read(receiver, 1), kj::Exception);
}

TEST(CompressedStream, EndOfStreamOfTheOtherSideEndsTheRead)
{
    Connection connection;
    CompressedStream sender(kj::mv(connection.m_pipe.ends[0]));
    CompressedStream receiver(kj::mv(connection.m_pipe.ends[1]));
    auto written = sender.write("abc", 3)
                       .then([&sender] {
                           sender.shutdownWrite();
                       })
                       .eagerlyEvaluate(nullptr);
    EXPECT_EQ(connection.read(receiver, 10), "abc");
    written.wait(connection.m_io.waitScope);
}

} // namespace fescuepond
