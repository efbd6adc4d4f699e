// Decoding of the liveness reports of targets. Guards against a report with a missing or invalid field that is accepted
// with a default value, so that the node uses a wrong state or number of slots, and against a crash of the node by a
// damaged report.

#include "platform/control/targetreport.h"

#include "tests/support/text.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

namespace fescuepond
{

namespace
{

const std::string validReport = R"({"service":"s1","address":"10.0.0.9:80","zone":"a","version":"v1","slots":49,)"
                                R"("state":"ready","cold_left_s":1.5,"sequence":4,"born":1700000000123})";

std::optional<BackendReport> read(const std::string &text)
{
    std::optional<BackendReport> result;
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(report, readTargetReport("i-1", text));
            result = std::move(report);
            return {};
        },
        [] {});
    return result;
}

} // namespace

TEST(TargetReport, IsDecodedFieldByField)
{
    const auto report = read(validReport);
    ASSERT_TRUE(report);
    EXPECT_EQ(report->instance(), "i-1");
    EXPECT_EQ(report->service(), "s1");
    EXPECT_EQ(report->sequence(), 4);
    EXPECT_EQ(report->startedAtMs(), 1700000000123);
    EXPECT_EQ(report->slots(), 49);
    EXPECT_EQ(report->state(), BackendState::Ready);
    EXPECT_EQ(report->remainingWarmUp(), std::chrono::milliseconds(1500));
    EXPECT_EQ(read(test::replaced(validReport, "ready", "draining"))->state(), BackendState::Draining);
}

TEST(TargetReport, AMissingOrMistypedFieldIsRejected)
{
    const std::vector<std::pair<std::string, std::string>> invalidCases = {
        {"\"ready\"", "\"resting\""},
        {"\"ready\"", "7"},
        {"\"s1\"", "null"},
        {"\"s1\"", "\"\""},
        {"49", "\"49x\""},
        {"49", "-1"},
        {"\"sequence\":4,", ""},
        {"\"sequence\":4", "\"sequence\":4.5"},
        {"1700000000123", "1.5"},
        {"1700000000123", "\"now\""},
        {"1.5", "[]"},
        {"{", "["},
    };
    for (const auto &[from, to] : invalidCases) {
        EXPECT_FALSE(read(test::replaced(validReport, from, to))) << from << " -> " << to;
    }
}

RC_GTEST_PROP(TargetReportProperty, DamagedReportsAreDecodedOrRejected, (unsigned seed))
{
    std::mt19937 random(seed);
    std::string text = validReport;
    for (unsigned i = 0; i < 1 + random() % 6; ++i) {
        text[random() % text.size()] = static_cast<char>(random());
    }
    const auto report = read(text);
    RC_ASSERT(!report || report->instance() == "i-1");
}

} // namespace fescuepond
