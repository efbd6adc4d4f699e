// The verbs of the command line with real processes: exit codes, messages, and their effect on nodes. Guards against
// failed commands that a script takes for successful ones because of their exit code, and against a missing reason in
// the output.

#include "tests/support/fleet.h"

#include <gtest/gtest.h>

#include <fstream>

namespace fescuepond::test
{

namespace
{

constexpr const char *Yard = R"(
service: yard
kinds:
  - {name: stock, method: GET, path: /stock/*, rank: 5, idempotent: true, deadline_ms: 5000}
)";

struct UsageCase {
    std::vector<std::string> arguments;
    int code;
    std::string expectedText; ///< Contained in the output.
};

} // namespace

TEST(Verbs, UsageAndExitCodes)
{
    const Fleet fleet;
    const std::string folder = fleet.folder() + "/bad";
    std::ofstream(fleet.folder() + "/settings.yaml") << "name: x\n";
    const std::vector<UsageCase> cases = {
        {{}, 2, "no verb is given"},
        {{"--help"}, 0, "usage: fescuepond VERB"},
        {{"nosuch"}, 2, "no verb 'nosuch'"},
        {{"publish", "--settings=x", "d"}, 2, "'publish' has no flag --settings"},
        {{"node", "--platform=x"}, 2, "'node' has no flag --platform"},
        {{"node", "--flagfile=x"}, 2, "'node' has no flag --flagfile"},
        {{"node", "--settings"}, 2, "--settings needs a value"},
        {{"node"}, 2, "usage: fescuepond node"},
        {{"publish", "--platform_timeout_ms=soon", "d"}, 2, "can't be 'soon'"},
        {{"publish", "--platform=127.0.0.1:1", "--merge", "--replace", "d"}, 2, "usage: fescuepond publish"},
        {{"check"}, 2, "usage: fescuepond check"},
        {{"check", folder}, 1, "cannot be read"},
        {{"check", "--settings", fleet.folder() + "/settings.yaml"}, 1, "settings.yaml:1:1: setting 'service'"},
        {{"status"}, 2, "usage: fescuepond status"},
        {{"status", "127.0.0.1:1"}, 3, "127.0.0.1:1: no answer"},
        {{"drain", "127.0.0.1:1"}, 3, "127.0.0.1:1: no answer"},
        {{"explain"}, 2, "usage: fescuepond explain"},
        {{"version"}, 0, "fescuepond "},
    };
    for (const UsageCase &entry : cases) {
        std::string output;
        EXPECT_EQ(fleet.runVerb(entry.arguments, &output), entry.code) << entry.expectedText << "\n" << output;
        EXPECT_NE(output.find(entry.expectedText), std::string::npos) << entry.expectedText << "\n" << output;
    }
    for (const std::string verb : {"node", "publish", "check", "status", "drain", "explain", "version"}) {
        std::string output;
        EXPECT_EQ(fleet.runVerb({verb, "--help"}, &output), 0);
        EXPECT_NE(output.find("usage: fescuepond " + verb), std::string::npos) << output;
    }
}

TEST(Verbs, ExplainPrintsTheCauseAndWhetherLinesAreMissing)
{
    const Fleet fleet;
    const std::string log = fleet.folder() + "/node.log";
    std::ofstream(log) << "a line of another program\n"
                       << "time_ms=9 node=n event=request_ended attempt=a root=r state=not-run reason=no-target "
                          "status=0 took_ms=1 detail=\"service 'yard' has no target\"\n";
    std::string output;
    EXPECT_EQ(fleet.runVerb({"explain", "a", log}, &output), 0);
    EXPECT_NE(output.find("> time_ms=9"), std::string::npos) << output;
    EXPECT_NE(output.find("cause: no node of the service was known"), std::string::npos) << output;
    EXPECT_EQ(fleet.runVerb({"explain", "b", log}, &output), 1);
    EXPECT_NE(output.find("incomplete"), std::string::npos) << output;
    EXPECT_EQ(fleet.runVerb({"explain", "a", fleet.folder() + "/nosuch"}), 1);
}

TEST(Verbs, StatusShowsNodesAndDrainStopsThem)
{
    Fleet fleet;
    ASSERT_EQ(fleet.publish({Yard}), 0);
    const FleetNode &node = fleet.addNode({.name = "yard-a", .service = "yard"});
    ASSERT_TRUE(fleet.waitUntilReady(1));
    std::string table;
    EXPECT_EQ(fleet.runVerb({"status", node.operatorAddress}, &table), 0);
    EXPECT_NE(table.find("yard-a"), std::string::npos) << table;
    EXPECT_NE(table.find("alive"), std::string::npos) << table;
    std::string json;
    EXPECT_EQ(fleet.runVerb({"status", "--json", node.operatorAddress}, &json), 0);
    for (const char *key : {"\"processor_seconds\"", "\"resident_bytes\"", "\"platform_calls\""}) {
        EXPECT_NE(json.find(key), std::string::npos) << json;
    }
    std::string output;
    EXPECT_EQ(fleet.runVerb({"drain", "--wait_ms=20000", node.operatorAddress}, &output), 0) << output;
    EXPECT_NE(output.find("has ended"), std::string::npos) << output;
    EXPECT_EQ(node.process->wait(std::chrono::seconds(10)), std::optional<int>(0));
}

TEST(Verbs, NodeExitsWithAnErrorIfItsAddressIsInUse)
{
    Fleet fleet;
    const FleetNode &node = fleet.addNode({.name = "yard-a", .service = "yard"});
    std::ofstream settings(fleet.folder() + "/taken.yaml");
    settings << "name: other\nservice: yard\nzone: zone-a\nbackend_address: " << node.backend
             << "\nplatform_address: " << fleet.platform() << "\nfront_address: " << node.front
             << "\nlocal_address: 127.0.0.1:0"
             << "\npeer_address: 127.0.0.1:0\noperator_address: 127.0.0.1:0\n";
    settings.close();
    std::string output;
    EXPECT_EQ(fleet.runVerb({"node", "--settings=" + fleet.folder() + "/taken.yaml"}, &output), 1);
    EXPECT_NE(output.find("cannot listen on " + node.front), std::string::npos) << output;
    EXPECT_NE(output.find("in use"), std::string::npos) << output;
}

} // namespace fescuepond::test
