// Decoding of desired states. Guards against a desired state that is applied in part: if one row is invalid, such as a
// route to an unknown service, the others must not come into force either. Damaged JSON must not crash the node.

#include "platform/configuration/desiredstate.h"

#include "tests/support/text.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

namespace fescuepond
{

namespace
{

const std::string validState =
    R"({"version":"00000007","routes":{"columns":["name","host","path_prefix","kind","timeout_s",
"aim_s","priority","traffic_split","max_attempts","service"],"rows":[
["r-a","a.example","/x/","safe",1,1.5,1,[{"service":"s1","weight":90},{"service":"s2","weight":10}],2,null],
["r-b","a.example","/x/y/","unsafe",1.25,3,0,null,1,"s1"]]},
"services":{"columns":["name","health_path","max_connections","protocol","tls"],
"rows":[["s1","/health",532,"h1",false],["s2","/health",676,"h1",false]]},
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}})";

struct ReadResult {
    Configuration configuration;
    std::string findings;
};

ReadResult readState(const std::string &text)
{
    ReadResult result;
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_ASSIGN(result.configuration, readDesiredState(text));
            return {};
        },
        [&](const Findings &findings) {
            result.findings = toString(findings);
        },
        [&] {
            result.findings = "failed";
        });
    return result;
}

} // namespace

TEST(DesiredState, RoutesAreDecoded)
{
    const ReadResult result = readState(validState);
    ASSERT_EQ(result.findings, "");
    EXPECT_EQ(result.configuration.version(), 7);
    const RouteDeclaration *longest = result.configuration.route("a.example", "/x/y/z?q=/x/");
    ASSERT_NE(longest, nullptr);
    EXPECT_EQ(longest->kind().name(), "r-b");
    EXPECT_FALSE(longest->kind().idempotent());
    EXPECT_EQ(longest->kind().deadline(), std::chrono::milliseconds(1250));
    EXPECT_EQ(longest->kind().retryAllowance(), 0);
    EXPECT_EQ(longest->kind().rank(), 0);
    const RouteDeclaration *split = result.configuration.route("a.example", "/x/z");
    ASSERT_NE(split, nullptr);
    EXPECT_EQ(split->kind().retryAllowance(), 1);
    EXPECT_EQ(split->latencyObjective(), std::chrono::milliseconds(1500));
    EXPECT_EQ(split->serviceFor(0.89), "s1");
    EXPECT_EQ(split->serviceFor(0.91), "s2");
    EXPECT_EQ(result.configuration.route("a.example", "/z/"), nullptr);
    EXPECT_EQ(result.configuration.route("b.example", "/x/"), nullptr);
}

TEST(DesiredState, EachErrorIsAFindingAndNothingIsAccepted)
{
    const std::vector<std::pair<std::string, std::string>> invalidCases = {
        {"\"/x/y/\"", "\"x/y\""},
        {"\"00000007\"", "\"\""},
        {"\"00000007\"", "\"00000000\""},
        {"\"00000007\"", "\"7th\""},
        {"\"00000007\"", "\"10000000000000000\""},
        {"\"version\"", "\"revision\""},
        {"\"unsafe\"", "null"},
        {"1.25", "null"},
        {"1.25", "-1"},
        {"null,1,\"s1\"", "null,0,\"s1\""},
        {"null,1,\"s1\"", "null,1,\"s9\""},
        {"\"weight\":90", "\"weight\":\"x\""},
        {"\"columns\":[\"name\",\"host\"", "\"columns\":[\"name\",\"hast\""},
    };
    for (const auto &[from, to] : invalidCases) {
        const ReadResult result = readState(test::replaced(validState, from, to));
        EXPECT_NE(result.findings, "") << from << " -> " << to;
        EXPECT_EQ(result.configuration, Configuration()) << from << " -> " << to;
    }
}

TEST(DesiredState, VersionsAreOrderedAsHexadecimalNumbers)
{
    EXPECT_EQ(readState(test::replaced(validState, "00000007", "0000000c")).configuration.version(), 12);
    EXPECT_EQ(readState(test::replaced(validState, "00000007", "FFFFFFFF")).configuration.version(), 0xFFFFFFFF);
}

TEST(DesiredState, UploadsAreNeverRepeated)
{
    const ReadResult result = readState(test::replaced(validState, "\"unsafe\"", "\"upload\""));
    ASSERT_EQ(result.findings, "");
    const RouteDeclaration *upload = result.configuration.route("a.example", "/x/y/");
    ASSERT_NE(upload, nullptr);
    EXPECT_FALSE(upload->kind().idempotent());
    EXPECT_TRUE(result.configuration.warnings().empty());
}

TEST(DesiredState, RouteOfAnUnknownKindDoesNotTakeTheFleetOutOfService)
{
    // "safe" is the idempotent kind, whose requests may be repeated: an unknown word must not inherit that.
    const ReadResult result = readState(test::replaced(validState, "\"safe\"", "\"odd\""));
    ASSERT_EQ(result.findings, "");
    const RouteDeclaration *odd = result.configuration.route("a.example", "/x/z");
    ASSERT_NE(odd, nullptr);
    EXPECT_FALSE(odd->kind().idempotent());
    const RouteDeclaration *other = result.configuration.route("a.example", "/x/y/");
    ASSERT_NE(other, nullptr);
    EXPECT_EQ(other->kind().name(), "r-b");
    ASSERT_EQ(result.configuration.warnings().size(), 1);
    EXPECT_NE(toString(result.configuration.warnings()).find("'odd'"), std::string::npos);
}

RC_GTEST_PROP(DesiredStateProperty, DamagedTextsYieldAResultOrFindings, (unsigned seed))
{
    std::mt19937 random(seed);
    std::string text = validState;
    for (unsigned i = 0; i < 1 + random() % 4; ++i) {
        const std::size_t at = random() % text.size();
        switch (random() % 3) {
        case 0:
            text[at] = static_cast<char>(random());
            break;
        case 1:
            text.resize(at + 1);
            break;
        default:
            text.erase(at, 1 + random() % 20);
        }
        if (text.empty()) {
            text = "{}";
        }
    }
    const ReadResult result = readState(text);
    RC_ASSERT(!result.findings.empty() || result.configuration.version() != 0);
}

} // namespace fescuepond
