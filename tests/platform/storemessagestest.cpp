// Decoding of the object store's messages.

#include "platform/store/storemessages.h"

#include <Poco/Exception.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

namespace fescuepond
{

namespace
{

const std::string Item = R"({"metadata":{"name":"n1","revision":412,"created":9,"finalizers":[],"deleting":false},)"
                         R"("spec":"value","status":null})";
const std::string Page = R"({"items":[)" + Item + R"(,{"metadata":7},)" + Item + R"(],"has_more":true,"at":530})";
const std::string Changes = R"({"events":[{"deleted":true,"object":)" + Item + R"(}],"at":533})";

} // namespace

TEST(StoreMessages, AnObjectsValueIsItsTextOrJson)
{
    EXPECT_EQ(readStoredObject(Item), StoredObject().withName("n1").withVersion(412).withValue("value"));
    const std::string structured = R"({"metadata":{"name":"n1","revision":1},"spec":{"a":[1,"b"]}})";
    EXPECT_EQ(readStoredObject(structured).value(), R"({"a":[1,"b"]})");
}

TEST(StoreMessages, AnItemThatCannotBeReadIsLeftOut)
{
    const StorePage page = readStorePage(Page);
    EXPECT_EQ(page.objects.size(), 2);
    EXPECT_FALSE(page.isLast);
    EXPECT_EQ(page.storeVersion, 530);
}

TEST(StoreMessages, ChangesTellWhatWasRemovedAndUpToWhere)
{
    const StoreChanges changes = readStoreChanges(Changes);
    ASSERT_EQ(changes.changes.size(), 1);
    EXPECT_TRUE(changes.changes.front().isRemoved);
    EXPECT_EQ(changes.storeVersion, 533);
}

TEST(StoreMessages, AWriteNamesTheVersionThatItReplaces)
{
    EXPECT_EQ(writeStoredObject("n1", "v", 0), R"({"metadata":{"name":"n1"},"spec":"v"})");
    EXPECT_EQ(writeStoredObject("n1", "v", 5), R"({"metadata":{"name":"n1","revision":5},"spec":"v"})");
}

RC_GTEST_PROP(StoreMessagesProperty, DamagedMessagesAreReadOrRefused, (unsigned seed))
{
    std::mt19937 random(seed);
    for (std::string text : {Item, Page, Changes}) {
        for (unsigned i = 0; i < 1 + random() % 5; ++i) {
            text[random() % text.size()] = static_cast<char>(random());
        }
        try {
            readStoredObject(text);
            readStorePage(text);
            readStoreChanges(text);
        } catch (const Poco::Exception &) {
            // Refused.
        }
    }
}

} // namespace fescuepond
