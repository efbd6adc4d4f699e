// Bodies that are fetched by the receiver of a message. Guards against a receiver that takes in a body without room for
// it, and against one that passes on another body than the sender's.

#include "modules/peer/bodytransfer.h"

#include <kj/async-io.h>

#include <gtest/gtest.h>

#include <limits>
#include <memory>
#include <string>

namespace fescuepond
{

namespace
{

constexpr std::size_t Limit = 1'000'000;
constexpr std::size_t Size = 600'000;

class BodyTransfer : public testing::Test
{
protected:
    BodyTransfer()
        : m_io(std::make_unique<kj::AsyncIoContext>(kj::setupAsyncIo()))
    {
        std::string bytes;
        for (std::size_t i = 0; i < Size; ++i) {
            bytes += static_cast<char>(i % 251);
        }
        m_body = Body(std::move(bytes));
    }
    ~BodyTransfer() override
    {
        setBodyMemoryLimit(std::numeric_limits<std::size_t>::max());
    }

    BodyFetch fetch() const
    {
        return {sourceOf(m_body), Size, m_body.digest(), Size, 200 * kj::MILLISECONDS};
    }
    std::optional<Body> fetched(BodyFetch request)
    {
        return fetchBody(kj::mv(request), m_io->provider->getTimer()).wait(m_io->waitScope);
    }

    std::unique_ptr<kj::AsyncIoContext> m_io;
    Body m_body;
};

} // namespace

TEST_F(BodyTransfer, TheReceiverGetsTheWholeBody)
{
    EXPECT_EQ(fetched(fetch()), m_body);
}

TEST_F(BodyTransfer, ABodyIsNotTakenInWithoutRoom)
{
    // The sender's copy is held by the same process.
    setBodyMemoryLimit(2 * Size - 1);
    const std::size_t before = heldBodyBytes();
    EXPECT_EQ(fetched(fetch()), std::nullopt);
    EXPECT_EQ(heldBodyBytes(), before);
}

TEST_F(BodyTransfer, ABodyWaitsForRoom)
{
    setBodyMemoryLimit(Limit + Size);
    auto other = kj::heap<BodyCharge>();
    ASSERT_TRUE(other->add(Limit - 1));
    auto request = fetch();
    request.maxWait = 10 * kj::SECONDS;
    auto body = fetchBody(kj::mv(request), m_io->provider->getTimer());
    EXPECT_FALSE(body.poll(m_io->waitScope));
    other = nullptr;
    EXPECT_EQ(body.wait(m_io->waitScope), m_body);
}

TEST_F(BodyTransfer, AnotherBodyThanTheSendersIsAnError)
{
    auto wrongDigest = fetch();
    wrongDigest.digest ^= 1;
    EXPECT_THROW(fetched(kj::mv(wrongDigest)), kj::Exception);
    auto tooShort = fetch();
    tooShort.size = Size + 1;
    tooShort.maxBytes = Size + 1;
    EXPECT_THROW(fetched(kj::mv(tooShort)), kj::Exception);
    auto tooLong = fetch();
    tooLong.size = Size - 1;
    EXPECT_THROW(fetched(kj::mv(tooLong)), kj::Exception);
    auto overLimit = fetch();
    overLimit.maxBytes = Size - 1;
    EXPECT_THROW(fetched(kj::mv(overLimit)), kj::Exception);
}

} // namespace fescuepond
