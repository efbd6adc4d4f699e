// Settings: every fault is found, with its place, and all are reported together.

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

/// The valid settings with one line replaced, or added when no line has its key.
std::string validBut(const std::string &line)
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

/// The findings of a text; empty when it is valid.
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

struct FaultCase {
    std::string line;
    std::string finding;
};

} // namespace

TEST(Settings, ValidOnesHaveNoFinding)
{
    EXPECT_EQ(findingsOf(Valid), "");
    EXPECT_EQ(findingsOf(validBut("peer_address: \"[::1]:7000\"")), "");
    EXPECT_EQ(findingsOf(validBut("peer_advertised_address: ''")), "");
    EXPECT_EQ(findingsOf(validBut("peer_advertised_address: 10.0.0.1:7000")), "");
}

TEST(Settings, EachFaultIsFoundWithItsPlace)
{
    const std::vector<FaultCase> faults = {
        FaultCase{"name: ''", "node.yaml:1:7: setting 'name' must not be empty"},
        FaultCase{"zone: 'zone a'", "node.yaml:3:7: setting 'zone' may hold only"},
        FaultCase{"front_address: 127.0.0.1", "node.yaml:4:16: setting 'front_address' must be IP:port"},
        FaultCase{"peer_address: host.example:80", "must be IP:port"},
        FaultCase{"peer_address: 127.0.0.1:99999", "must be IP:port"},
        FaultCase{"local_address: 10.0.0.1:80", "must be a loopback address"},
        FaultCase{"backend_address: 127.0.0.1:0", "must name a port"},
        FaultCase{"seed_peers: [\"127.0.0.1:7000\", oops]", "node.yaml:10:32: setting 'seed_peers'"},
        FaultCase{"seed_peers: 5", "has a value of the wrong type"},
        FaultCase{"backend_slots: 0", "must lie between 1 and"},
        FaultCase{"backend_slots: -1", "has a value of the wrong type"},
        FaultCase{"http_threads: many", "node.yaml:10:15: setting 'http_threads'"},
        FaultCase{"platform_timeout_ms: 999999999", "must lie between"},
        FaultCase{"platform_timeout_ms: {}", "has a value of the wrong type"},
        FaultCase{"colour: blue", "node.yaml:10:1: unknown setting 'colour'"}};
    for (const FaultCase &fault : faults) {
        const std::string findings = findingsOf(validBut(fault.line));
        EXPECT_NE(findings.find(fault.finding), std::string::npos) << fault.finding << "\n" << findings;
        EXPECT_EQ(std::count(findings.begin(), findings.end(), '\n'), 1) << fault.finding << "\n" << findings;
    }
}

TEST(Settings, AllFindingsAreReportedTogether)
{
    const std::string findings = findingsOf("name: a\nname: b\nzone: z\nport: 5\nfront_address: x\n");
    for (const char *part : {"node.yaml:2:1: setting 'name' stands twice",
                             "unknown setting 'port'",
                             "setting 'service' is missing",
                             "setting 'platform_address' is missing",
                             "node.yaml:5:16: setting 'front_address'"}) {
        EXPECT_NE(findings.find(part), std::string::npos) << part << "\n" << findings;
    }
}

TEST(Settings, WhatIsNoMapIsAFinding)
{
    EXPECT_NE(findingsOf("- a\n- b\n"), "");
    EXPECT_NE(findingsOf("name: [unclosed"), "");
    EXPECT_NE(findingsOf(""), "");
    EXPECT_NE(findingsOf("? [a, b]\n: c\n"), "");
}

} // namespace fescuepond
