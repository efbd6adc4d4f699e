// Splitting a JSON array. Guards against an element that breaks the others, whatever it holds.

#include "modules/store/jsonelements.h"

#include <Poco/Exception.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace fescuepond
{

using Elements = std::vector<std::string>;

TEST(JsonElements, ElementsAreSplitAtTheirOwnLevelOnly)
{
    const SplitArray split = splitArrayMember(
        R"({"a":{"items":[9]},"b":"\"items\":[", "items" : [ {"x":[1,2]}, "],\\\"", 7 ,[[]]], "at":5})", "items");
    EXPECT_EQ(split.elements, (Elements{R"( {"x":[1,2]})", R"( "],\\\"")", " 7 ", "[[]]"}));
    EXPECT_EQ(split.rest, R"({"a":{"items":[9]},"b":"\"items\":[", "items" : [], "at":5})");
}

TEST(JsonElements, TextWithoutTheArrayIsLeftAsItIs)
{
    for (const std::string text :
         {"", "{", "[]", R"({"items":{}})", R"("items":[1])", R"([{"items":[1]}])", "\"", "{\"a\\"}) {
        const SplitArray split = splitArrayMember(text, "items");
        EXPECT_EQ(split.elements, Elements()) << text;
        EXPECT_EQ(split.rest, text);
    }
    EXPECT_EQ(splitArrayMember(R"({"items":[ ]})", "items").elements, Elements());
    EXPECT_THROW(splitArrayMember(R"({"items":[1,2)", "items"), Poco::DataFormatException);
}

TEST(JsonElements, DeepNestingNeedsNoStack)
{
    const std::string deep = std::string(2'000'000, '[') + std::string(2'000'000, ']');
    EXPECT_EQ(splitArrayMember(R"({"items":[1,)" + deep + R"(,2]})", "items").elements, (Elements{"1", deep, "2"}));
}

RC_GTEST_PROP(JsonElementsProperty, AnyBytesAreSplitOrRejected, (const std::string &bytes))
{
    for (const std::string &text : {bytes, R"({"items":[)" + bytes, R"({"items":[)" + bytes + "]}"}) {
        try {
            splitArrayMember(text, "items");
        } catch (const Poco::DataFormatException &) {
            // Not closed.
        }
    }
}

} // namespace fescuepond
