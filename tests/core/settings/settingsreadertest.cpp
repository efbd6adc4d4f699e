// Reading of settings: every error is found and located, and all are reported together.

#include "core/settings/settingsreader.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace fescuepond
{

namespace
{

constexpr const char *Valid = R"(name: yard-a
service: yard
zone: zone-a
front_address: 127.0.0.1:0
local_address: 127.0.0.1:0
peer_address: 127.0.0.1:0
operator_address: 127.0.0.1:0
backend_address: 127.0.0.1:8080
platform_address: 127.0.0.1:9000
)";

/// The valid settings with one line replaced, or added if no line has its key.
std::string validExcept(const std::string &line)
{
    std::string text = Valid;
    const std::string key = line.substr(0, line.find(':') + 1);
    const auto at = text.find("\n" + key);
    if (at == std::string::npos) {
        return text.starts_with(key) ? line + text.substr(text.find('\n')) : text + line + "\n";
    }
    const auto end = text.find('\n', at + 1);
    return text.substr(0, at + 1) + line + text.substr(end);
}

/// The findings of a text; empty if it is valid.
std::string findingsOf(const std::string &text)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(readSettings("node.yaml", text));
            return std::string();
        },
        [](const Findings &findings) {
            return toString(findings);
        },
        [] {
            return std::string("unexpected error");
        });
}

struct ErrorCase {
    std::string line;
    std::string finding;
};

} // namespace

TEST(Settings, ValidTextHasNoFinding)
{
    EXPECT_EQ(findingsOf(Valid), "");
    EXPECT_EQ(findingsOf(validExcept("peer_address: \"[::1]:7000\"")), "");
    EXPECT_EQ(findingsOf(validExcept("peer_advertised_address: ''")), "");
    EXPECT_EQ(findingsOf(validExcept("peer_advertised_address: 10.0.0.1:7000")), "");
}

TEST(Settings, BoundsOfThePlatformMayBeFractionsSoThatNodesStart)
{
    for (const char *key : {"retry_ratio: 0",
                            "retry_slack: 35",
                            "retry_window_s: 10",
                            "backend_drain_s: 2",
                            "stop_limit_s: 6",
                            "change_bound_s: 2",
                            "recovery_time_s: 3"}) {
        EXPECT_EQ(findingsOf(validExcept(std::string(key) + ".5")), "") << key;
    }
}

TEST(Settings, EachErrorIsFoundAndLocated)
{
    const std::vector<ErrorCase> errors = {
        ErrorCase{"name: ''", "node.yaml:1:7: setting 'name' must not be empty"},
        ErrorCase{"zone: 'zone a'", "node.yaml:3:7: setting 'zone' may hold only"},
        ErrorCase{"front_address: 127.0.0.1", "node.yaml:4:16: setting 'front_address' must be IP:port"},
        ErrorCase{"peer_address: host.example:80", "must be IP:port"},
        ErrorCase{"peer_address: 127.0.0.1:99999", "must be IP:port"},
        ErrorCase{"local_address: 10.0.0.1:80", "must be a loopback address"},
        ErrorCase{"backend_address: 127.0.0.1:0", "must name a port"},
        ErrorCase{"seed_peers: [\"127.0.0.1:7000\", oops]", "node.yaml:10:32: setting 'seed_peers'"},
        ErrorCase{"seed_peers: 5", "has a value of the wrong type"},
        ErrorCase{"backend_slots: 0", "must lie between 1 and"},
        ErrorCase{"backend_slots: -1", "has a value of the wrong type"},
        ErrorCase{"http_threads: many", "node.yaml:10:15: setting 'http_threads'"},
        ErrorCase{"platform_timeout_ms: 999999999", "must lie between"},
        ErrorCase{"platform_timeout_ms: {}", "has a value of the wrong type"},
        ErrorCase{"colour: blue", "node.yaml:10:1: unknown setting 'colour'"}};
    for (const ErrorCase &error : errors) {
        const std::string findings = findingsOf(validExcept(error.line));
        EXPECT_NE(findings.find(error.finding), std::string::npos) << error.finding << "\n" << findings;
        EXPECT_EQ(std::count(findings.begin(), findings.end(), '\n'), 1) << error.finding << "\n" << findings;
    }
}

TEST(Settings, AllFindingsAreReportedTogether)
{
    const std::string findings = findingsOf("name: a\nname: b\nzone: z\nport: 5\nfront_address: x\n");
    for (const char *part : {"node.yaml:2:1: duplicate setting 'name'",
                             "unknown setting 'port'",
                             "setting 'service' is missing",
                             "setting 'platform_address' is missing",
                             "node.yaml:5:16: setting 'front_address'"}) {
        EXPECT_NE(findings.find(part), std::string::npos) << part << "\n" << findings;
    }
}

TEST(Settings, TextThatIsNotAMapIsAFinding)
{
    EXPECT_NE(findingsOf("- a\n- b\n"), "");
    EXPECT_NE(findingsOf("name: [unclosed"), "");
    EXPECT_NE(findingsOf(""), "");
    EXPECT_NE(findingsOf("? [a, b]\n: c\n"), "");
}

} // namespace fescuepond
