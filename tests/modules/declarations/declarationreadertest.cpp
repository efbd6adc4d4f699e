// Declarations: each error is reported with its line and column. Published configurations: the text is decoded to what
// was encoded, and a text that was changed or truncated is rejected.

#include "modules/declarations/declarationreader.h"
#include "modules/declarations/configurationencoding.h"
#include "tests/support/text.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace fescuepond
{

namespace
{

std::string findingsOf(const std::string &text)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(readDeclaration("yard.yaml", text));
            return std::string();
        },
        [](const Findings &findings) {
            return toString(findings);
        },
        [] {
            return std::string("unexpected error");
        });
}

std::string withKinds(const std::string &kinds)
{
    return "service: yard\nkinds:\n" + kinds;
}

constexpr const char *Stock =
    "  - {name: stock, method: GET, path: /stock/*, rank: 5, idempotent: true, deadline_ms: 9}\n";

struct InvalidCase {
    std::string text;
    std::string finding;
};

/// A declaration with the kind `stock`, in which `part` is replaced.
std::string stockWith(const std::string &part, const std::string &replacement)
{
    std::string kind = Stock;
    return withKinds(kind.replace(kind.find(part), part.size(), replacement));
}

} // namespace

TEST(Declarations, ValidDeclarationsHaveNoFinding)
{
    EXPECT_EQ(findingsOf(withKinds(Stock)), "");
}

TEST(Declarations, EachErrorIsReportedWithItsPosition)
{
    const std::vector<InvalidCase> invalidCases = {
        InvalidCase{stockWith("/stock/*", "stock"), "yard.yaml:3:38: path 'stock' must begin with '/'"},
        InvalidCase{stockWith("/stock/*", "/a*b"), "'*' may stand only at the end"},
        InvalidCase{stockWith("/stock/*", "'/a?b=1'"), "path '/a?b=1' must not hold"},
        InvalidCase{stockWith("GET", "FETCH"), "yard.yaml:3:27: method 'FETCH' is none of"},
        InvalidCase{stockWith("rank: 5", "rank: 100"), "'rank' must lie between 0 and 99"},
        InvalidCase{stockWith("rank: 5", "rank: 5.5"), "'rank' has a value of the wrong type"},
        InvalidCase{stockWith("deadline_ms: 9", "deadline_ms: 0"), "'deadline_ms' must lie between"},
        InvalidCase{stockWith("idempotent: true", "idempotent: maybe"), "'idempotent' has a value of the wrong type"},
        InvalidCase{stockWith("idempotent: true", "idempotent: true, tier: 1"), "unknown key 'tier'"},
        InvalidCase{stockWith("name: stock", "name: ''"), "'name' must not be empty"},
        InvalidCase{stockWith("rank: 5, ", ""), "yard.yaml:3:5: key 'rank' is missing"},
        InvalidCase{withKinds(std::string(Stock) + Stock), "kind 'stock' is declared twice"},
        InvalidCase{withKinds(std::string(Stock)
                              + "  - {name: one, method: GET, path: /stock/1, rank: 5, idempotent: true, "
                                "deadline_ms: 9}\n"),
                    "yard.yaml:4:36: kind 'one' is never reached: 'stock' matches all its requests"},
        InvalidCase{"service: 10.0.0.1\nkinds:\n" + std::string(Stock), "service '10.0.0.1' can't be named"},
        InvalidCase{"service: a b\nkinds:\n" + std::string(Stock), "service 'a b' can't be named"},
        InvalidCase{"service: yard\nkinds: []\n", "'kinds' must list at least one kind"}};
    for (const InvalidCase &invalidCase : invalidCases) {
        const std::string findings = findingsOf(invalidCase.text);
        EXPECT_NE(findings.find(invalidCase.finding), std::string::npos) << invalidCase.finding << "\n" << findings;
        EXPECT_EQ(std::count(findings.begin(), findings.end(), '\n'), 1) << invalidCase.finding << "\n" << findings;
    }
}

TEST(Declarations, AKindOfAnotherMethodDoesNotShadow)
{
    std::string other = Stock;
    other.replace(other.find("stock"), 5, "order");
    other.replace(other.find("GET"), 3, "POST");
    EXPECT_EQ(findingsOf(withKinds(Stock + other)), "");
}

TEST(PublishedConfigurationText, RoundTripsAndCorruptedTextIsRejected)
{
    const auto kind = KindDeclaration()
                          .withName("stock")
                          .withMethod("*")
                          .withPath("/stock/*")
                          .withRank(7)
                          .withDeadline(std::chrono::milliseconds(250))
                          .withRetryAllowance(3)
                          .withKeptShare(0.1);
    const ServiceMap services = {{"yard", ServiceDeclaration().withName("yard").withKinds({kind})}};
    const auto entry = PublicationEntry()
                           .withNonce(PublicationNonce(1, 2))
                           .withOperatorName("anna: \"the\" \n #operator")
                           .withTime("2026-01-01T00:00:00Z")
                           .withBaseVersion(6);
    const auto change = ServiceChange().withService("yard").withOperatorName("anna").withTime("T");
    const auto publication = Publication().withHistory({entry}).withChanges({change});
    const std::string text = writeConfiguration(Configuration().withVersion(7).withServices(services), publication);

    const auto isReadBack = [&](const std::string &candidate) {
        return boost::leaf::try_handle_all(
            [&]() -> Result<bool> {
                BOOST_LEAF_AUTO(read, readPublishedConfiguration(candidate));
                return read.configuration().services() == services && read.configuration().version() == 7
                    && read.publication() == publication;
            },
            [] {
                return false;
            });
    };
    EXPECT_TRUE(isReadBack(text)) << text;
    std::string corrupted = text;
    corrupted.replace(corrupted.find("rank: 7"), 7, "rank: 6");
    EXPECT_FALSE(isReadBack(corrupted));
    EXPECT_FALSE(isReadBack(text.substr(0, text.size() / 2)));
    EXPECT_FALSE(isReadBack(""));
    EXPECT_FALSE(isReadBack(test::replaced(text, "version: 7", "version: 0")));
}

} // namespace fescuepond
