// Records of members as JSON. Guards against a record of another writer that ends the process or names a member at an
// address that can't exist.

#include "modules/membership/memberencoding.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

namespace fescuepond
{

namespace
{

const Member member = Member()
                          .withName("yard-1")
                          .withStartedAtMs(1'700'000'000'000)
                          .withIncarnation(Incarnation(1, 2))
                          .withSequence(3)
                          .withService("yard")
                          .withZone("a")
                          .withRegion("r")
                          .withPeerAddress("10.0.0.1:7620")
                          .withConfigurationVersion(12)
                          .withIsServing(true)
                          .withSlots(24);

/// The record with the value of `field` replaced by `json`.
std::string withField(const std::string &field, const std::string &json)
{
    std::string text = toJson(member);
    const auto begin = text.find('"' + field + "\":") + field.size() + 3;
    const auto end = text.find_first_of(",}", begin);
    return text.replace(begin, end - begin, json);
}

} // namespace

TEST(MemberEncoding, RecordIsReadAsItWasWritten)
{
    EXPECT_EQ(memberFromJson(toJson(member)), member);
}

TEST(MemberEncoding, RecordWithAnAddressThatCannotExistIsUnreadable)
{
    for (const std::string address : {"",
                                      "10.0.0.1",
                                      "10.0.0.1:0",
                                      "10.0.0.1:65536",
                                      "10.0.0.1:99999999999999999999",
                                      "10.0.0.1:-1",
                                      "10.0.0.1:80x",
                                      "host.example:80",
                                      "10.0.0.256:80",
                                      ":80",
                                      "[::1:80"}) {
        EXPECT_EQ(memberFromJson(withField("peer_address", '"' + address + '"')), std::nullopt) << address;
    }
}

TEST(MemberEncoding, RecordWithOddValuesIsUnreadable)
{
    const std::string deep = std::string(100'000, '[') + std::string(100'000, ']');
    for (const char *field : {"name", "started_at_ms", "incarnation", "sequence", "state", "service", "slots"}) {
        for (const std::string &odd : {deep, std::string("1e999"), std::string("-1"), std::string("{}")}) {
            EXPECT_EQ(memberFromJson(withField(field, odd)), std::nullopt) << field << " " << odd.substr(0, 20);
        }
    }
}

TEST(MemberEncoding, DeparturesAreReadAsTheyWereWritten)
{
    const Departures departures = {Departure().withInstance("i-1").withStartedAtMs(1'700'000'000'000),
                                   Departure().withInstance("i \"2\"").withDepartedAtMs(1'700'000'000'001)};
    const std::string text = toJson(member, departures);
    EXPECT_EQ(departuresFromJson(text), departures);
    EXPECT_EQ(memberFromJson(text), member);
    EXPECT_EQ(departuresFromJson(toJson(member)), Departures());
}

TEST(MemberEncoding, UnreadableDepartureCostsThatOneAlone)
{
    const Departure departure = Departure().withInstance("i-1").withStartedAtMs(5);
    const std::string good = R"({"instance":"i-1","started_at_ms":5,"departed_at_ms":0})";
    for (const std::string odd : {"7",
                                  "null",
                                  "[]",
                                  "{}",
                                  R"({"instance":7,"started_at_ms":5,"departed_at_ms":0})",
                                  R"({"instance":"i-2","started_at_ms":-1,"departed_at_ms":0})",
                                  R"({"instance":"i-2","started_at_ms":"x","departed_at_ms":0})"}) {
        const std::string text = fmt::format(R"({{"departures":[{},{}]}})", odd, good);
        EXPECT_EQ(departuresFromJson(text), Departures{departure}) << odd;
    }
    for (const std::string text : {"", "7", "[]", "{}", R"({"departures":7})", R"({"departures":{}})"}) {
        EXPECT_EQ(departuresFromJson(text), Departures()) << text;
    }
}

RC_GTEST_PROP(MemberEncodingProperty, DamagedRecordsAreReadOrRejected, (unsigned seed))
{
    std::mt19937 random(seed);
    std::string text = toJson(member, {Departure().withInstance("i-1").withStartedAtMs(5)});
    for (unsigned i = 0; i < 1 + random() % 6; ++i) {
        const auto at = random() % text.size();
        if (random() % 2 == 0) {
            text[at] = static_cast<char>(random());
        } else {
            text.insert(at, text.substr(random() % text.size(), random() % 40));
        }
    }
    memberFromJson(text);
    departuresFromJson(text);
}

} // namespace fescuepond
