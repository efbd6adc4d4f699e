// Messages of the object store: valid ones are decoded; damaged ones throw a Poco::Exception or are decoded, but never
// crash the decoder.

#include "platform/store/storemessages.h"

#include <Poco/Exception.h>

#include <fmt/format.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

namespace fescuepond
{

namespace
{

constexpr StoreEra Era = 3;
const std::string item = R"({"metadata":{"name":"n1","revision":412,"created":9,"finalizers":[],"deleting":false},)"
                         R"("spec":"value","status":null})";
const std::string page = R"({"items":[)" + item + R"(,{"metadata":7},)" + item + R"(],"has_more":true,"at":530})";
const std::string changed = R"({"events":[{"deleted":true,"object":)" + item + R"(}],"at":533})";

} // namespace

TEST(StoreMessages, AnObjectsValueIsItsTextOrJson)
{
    EXPECT_EQ(
        readStoredObject(item, Era),
        StoredObject().withName("n1").withRevision(ObjectRevision().withEra(Era).withNumber(412)).withValue("value"));
    const std::string structured = R"({"metadata":{"name":"n1","revision":1},"spec":{"a":[1,"b"]}})";
    EXPECT_EQ(readStoredObject(structured, Era).value(), R"({"a":[1,"b"]})");
}

TEST(StoreMessages, AnUnreadableItemIsSkipped)
{
    const StorePage read = readStorePage(page, Era);
    EXPECT_EQ(read.objects.size(), 2);
    EXPECT_FALSE(read.isLast);
    EXPECT_EQ(read.storeRevision, 530);
}

TEST(StoreMessages, OneOddItemOfAListOrAWatchCostsOnlyItself)
{
    const auto nested = [](int depth) {
        return std::string(static_cast<std::size_t>(depth), '[') + std::string(static_cast<std::size_t>(depth), ']');
    };
    const std::vector<std::string> oddItems = {
        nested(200),
        nested(100'000),
        R"({"metadata":{"name":"odd","revision":1},"spec":)" + nested(100'000) + "}",
        R"({"metadata":{"name":"odd","revision":1e999},"spec":"v"})",
        R"({"metadata":{"name":"odd","revision":-1},"spec":"v"})",
        R"({"metadata":{"name":"odd","revision":123456789012345678901234567890},"spec":"v"})",
        R"({"metadata":{"name":{},"revision":1},"spec":"v"})",
        R"({"metadata":[],"spec":"v"})",
        "null",
        "7",
        R"("text")",
        "\x01\xff",
    };
    for (const std::string &odd : oddItems) {
        const StorePage read = readStorePage(fmt::format(R"({{"items":[{0},{1},{0}],"at":5}})", item, odd), Era);
        EXPECT_EQ(read.objects.size(), 2) << odd.substr(0, 100);
        EXPECT_EQ(read.storeRevision, 5);
        const std::string event = fmt::format(R"({{"deleted":false,"object":{}}})", item);
        const std::string oddEvent = fmt::format(R"({{"deleted":false,"object":{}}})", odd);
        const StoreChanges changes =
            readStoreChanges(fmt::format(R"({{"events":[{0},{1},{2},{0}],"at":5}})", event, oddEvent, odd), Era);
        EXPECT_EQ(changes.changes.size(), 2) << odd.substr(0, 100);
    }
}

TEST(StoreMessages, ChangesCarryRemovalsAndTheStoreVersion)
{
    const StoreChanges changes = readStoreChanges(changed, Era);
    ASSERT_EQ(changes.changes.size(), 1);
    EXPECT_TRUE(changes.changes.front().isRemoved);
    EXPECT_EQ(changes.storeRevision, 533);
}

TEST(StoreMessages, AWriteCarriesTheVersionToReplace)
{
    EXPECT_EQ(writeStoredObject("n1", "v", std::nullopt), R"({"metadata":{"name":"n1"},"spec":"v"})");
    EXPECT_EQ(writeStoredObject("n1", "v", ObjectRevision().withEra(Era).withNumber(5)),
              R"({"metadata":{"name":"n1","revision":5},"spec":"v"})");
}

RC_GTEST_PROP(StoreMessagesProperty, DamagedMessagesAreDecodedOrRejected, (unsigned seed))
{
    std::mt19937 random(seed);
    for (std::string text : {item, page, changed}) {
        for (unsigned i = 0; i < 1 + random() % 5; ++i) {
            text[random() % text.size()] = static_cast<char>(random());
        }
        try {
            readStoredObject(text, Era);
            readStorePage(text, Era);
            readStoreChanges(text, Era);
        } catch (const Poco::Exception &) {
            // Rejected.
        }
    }
}

} // namespace fescuepond
