// The client of the platform's store over a restore from an older copy. Guards against changes that a watch skips,
// against writes whose condition holds only since a revision was given out again, and against delayed responses of an
// earlier era.

#include "core/pipeline/objectstore.h"
#include "tests/support/fleet.h"

#include <gtest/gtest.h>

#include <chrono>
#include <future>
#include <thread>

namespace fescuepond::test
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto CallTimeout = seconds(2);
constexpr auto NoWait = milliseconds(1);

class StoreClientRestore : public testing::Test
{
protected:
    StoreReply create(const std::string &value, StoreConnection &store) const
    {
        return store.put("kind", "object", value, std::nullopt);
    }

    /// Gives the object's revision out again, to contents of another client.
    void restoreAndWriteAnother()
    {
        m_fleet.controlPlatform("/restore");
        EXPECT_EQ(create("another", *m_other).status(), StoreStatus::Ok);
    }

    std::string storedValue()
    {
        const StoreReply reply = m_other->get("kind", "object");
        return reply.objects().empty() ? "" : reply.objects().front().value();
    }

    Fleet m_fleet;
    std::unique_ptr<StoreConnection> m_client = connectStore(m_fleet.platform(), CallTimeout);
    std::unique_ptr<StoreConnection> m_other = connectStore(m_fleet.platform(), CallTimeout);
};

} // namespace

TEST_F(StoreClientRestore, AWatchWhoseCursorWasOvertakenSkipsNothing)
{
    m_fleet.controlPlatform("/copy");
    ASSERT_EQ(create("first", *m_client).status(), StoreStatus::Ok);
    ASSERT_EQ(m_client->watch("kind", "object", NoWait).status(), StoreStatus::Ok);
    restoreAndWriteAnother();
    m_fleet.controlPlatform("/advance?by=400");
    const StoreReply reply = m_client->watch("kind", "object", NoWait);
    ASSERT_EQ(reply.status(), StoreStatus::Ok);
    EXPECT_EQ(reply.objects().front().value(), "another");
}

TEST_F(StoreClientRestore, AWatchWhoseCursorIsAheadOfTheStoreReturnsTheObject)
{
    m_fleet.controlPlatform("/copy");
    m_fleet.controlPlatform("/advance?by=400");
    ASSERT_EQ(create("first", *m_client).status(), StoreStatus::Ok);
    ASSERT_EQ(m_client->watch("kind", "object", NoWait).status(), StoreStatus::Ok);
    restoreAndWriteAnother();
    const StoreReply reply = m_client->watch("kind", "object", NoWait);
    ASSERT_EQ(reply.status(), StoreStatus::Ok);
    EXPECT_EQ(reply.objects().front().value(), "another");
}

TEST_F(StoreClientRestore, AWatchThatBeginsLaterDoesNotWaitAtAnOldCursor)
{
    ASSERT_EQ(create("first", *m_client).status(), StoreStatus::Ok);
    ASSERT_EQ(m_client->watch("kind", "object", NoWait).status(), StoreStatus::Ok);
    std::this_thread::sleep_for(CallTimeout);
    EXPECT_EQ(m_client->watch("kind", "object", seconds(10)).status(), StoreStatus::Ok);
}

TEST_F(StoreClientRestore, AConditionalWriteOfAnEarlierEraReplacesNothing)
{
    m_fleet.controlPlatform("/copy");
    const ObjectRevision lost = create("first", *m_client).objects().front().revision();
    restoreAndWriteAnother();
    EXPECT_EQ(m_other->get("kind", "object").objects().front().revision().number(), lost.number());
    // As a node that has heard of the restore from another one.
    m_client->eraSeen(m_other->era());
    EXPECT_EQ(m_client->put("kind", "object", "second", lost).status(), StoreStatus::Conflict);
    EXPECT_EQ(m_client->remove("kind", "object", lost).status(), StoreStatus::Conflict);
    EXPECT_EQ(storedValue(), "another");
}

TEST_F(StoreClientRestore, AConditionalWriteThatItselfShowsTheRestoreIsNotReportedAsDone)
{
    m_fleet.controlPlatform("/copy");
    const ObjectRevision lost = create("first", *m_client).objects().front().revision();
    restoreAndWriteAnother();
    EXPECT_EQ(m_client->put("kind", "object", "second", lost).status(), StoreStatus::Unavailable);
}

TEST_F(StoreClientRestore, AResponseOfAnEarlierEraCountsAsNone)
{
    m_fleet.controlPlatform("/copy");
    ASSERT_EQ(create("first", *m_client).status(), StoreStatus::Ok);
    m_fleet.setPlatformMode("hold=500");
    auto delayed = std::async(std::launch::async, [&] {
        return m_client->get("kind", "object").status();
    });
    std::this_thread::sleep_for(milliseconds(200));
    m_fleet.setPlatformMode("");
    m_fleet.controlPlatform("/restore");
    EXPECT_EQ(m_client->get("kind", "object").status(), StoreStatus::NotFound);
    EXPECT_EQ(delayed.get(), StoreStatus::Unavailable);
}

} // namespace fescuepond::test
