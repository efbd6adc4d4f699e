// A store that is away for a moment and comes back from a copy, with real nodes. Guards against desired states that
// never come into force since their revisions were given out before, against nodes that return to an older one, and
// against nodes that can't be found since their objects are gone.

#include "tests/platform/desiredstateobject.h"
#include "tests/support/eventually.h"
#include "tests/support/fleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <thread>

namespace fescuepond::test
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto MaxWait = seconds(10);
/// As by default: recovery_time_s 3, change_bound_s 2. A change that is written as the store comes back is in force
/// once both have passed.
constexpr auto RecoveryTime = seconds(3);
constexpr auto ChangeBound = seconds(2);
constexpr auto AwayTime = milliseconds(1500);
constexpr auto SampleInterval = milliseconds(50);
/// Changes of other kinds in the store.
constexpr const char *OtherChanges = "/advance?by=200";

std::string pathOf(std::uint32_t version)
{
    return "/v" + std::to_string(version) + "/";
}

class StoreRestore : public testing::Test
{
protected:
    /// The operator writes a desired state, with a route of its own for each version up to this one.
    void writeDesiredState(std::uint32_t version) const
    {
        std::vector<RouteObject> routes;
        for (std::uint32_t i = 1; i <= version; ++i) {
            routes.push_back(RouteObject()
                                 .withName("r" + std::to_string(i))
                                 .withHost("a.example")
                                 .withPathPrefix(pathOf(i))
                                 .withService("yard")
                                 .withTimeoutSeconds(1)
                                 .withMaxAttempts(1));
        }
        HttpCall call;
        call.method = "PUT";
        call.path = "/objects/config/main";
        call.body = R"({"metadata":{"name":"main"},"spec":)" + desiredStateText(version, routes) + "}";
        if (sendHttp(m_fleet.platform(), call).status == 404) {
            call.method = "POST";
            call.path = "/objects/config";
            ASSERT_EQ(sendHttp(m_fleet.platform(), call).status, 200);
        }
    }

    FleetNode &addNode(const std::string &name, const std::string &zone = "zone-a")
    {
        FleetNode &node =
            m_fleet.addNode({.name = name,
                             .service = "yard",
                             .zone = zone,
                             .settings = {"environment: fleet", "entry_address: 127.0.0.1:0", "backend_reports: true"},
                             .backendAddress = "127.0.0.1:1",
                             .startsBackend = false});
        m_nodes.push_back(&node);
        return node;
    }

    static std::string entryOf(const FleetNode &node)
    {
        return valueIn(node.process->waitForLine("event=listening listener=entry"), "address");
    }

    static int statusOf(const FleetNode &node, const std::string &path)
    {
        HttpCall call;
        call.path = path;
        call.host = "a.example";
        call.headers = {{"Fescuepond-Attempt-Id", "a1"}, {"Fescuepond-Deadline-Ms", "900"}};
        return sendHttp(entryOf(node), call).status;
    }

    /// Whether the route that version `version` adds is in force. No backend server has reported, so that requests are
    /// rejected with 503, as are all of a node without a desired state.
    static bool serves(const FleetNode &node, std::uint32_t version)
    {
        const bool hasDesiredState = statusOf(node, "/none/x") == 404;
        return hasDesiredState && statusOf(node, pathOf(version) + "x") == 503;
    }

    bool allServe(std::uint32_t version) const
    {
        return std::all_of(m_nodes.begin(), m_nodes.end(), [&](const FleetNode *node) {
            return serves(*node, version);
        });
    }

    /// Version 5 is in the copy, and 7 in force on all nodes.
    void bringVersion7IntoForceAfterTheCopy()
    {
        writeDesiredState(5);
        addNode("yard-a");
        addNode("yard-b", "zone-b");
        ASSERT_TRUE(m_fleet.waitUntilListed(m_nodes.size()));
        ASSERT_TRUE(eventually(MaxWait, [&] {
            return allServe(5);
        }));
        m_fleet.controlPlatform("/copy");
        m_fleet.controlPlatform(OtherChanges);
        writeDesiredState(7);
        ASSERT_TRUE(eventually(MaxWait, [&] {
            return allServe(7);
        }));
    }

    void restore(const std::string &query = "")
    {
        m_fleet.setPlatformMode("down=1");
        std::this_thread::sleep_for(AwayTime);
        m_fleet.controlPlatform("/restore" + query);
        m_fleet.setPlatformMode("");
    }

    Fleet m_fleet;
    std::vector<FleetNode *> m_nodes;
};

} // namespace

TEST_F(StoreRestore, ADesiredStateWrittenAfterwardsComesIntoForceAndNoNodeReturnsToAnOlderOne)
{
    bringVersion7IntoForceAfterTheCopy();
    restore();
    const auto end = std::chrono::steady_clock::now() + RecoveryTime;
    while (std::chrono::steady_clock::now() < end) {
        EXPECT_TRUE(allServe(7)) << "only the copy is in the store";
        std::this_thread::sleep_for(SampleInterval);
    }
    writeDesiredState(7);
    writeDesiredState(9);
    std::this_thread::sleep_for(ChangeBound);
    EXPECT_TRUE(allServe(9));
}

TEST_F(StoreRestore, ADesiredStateWrittenAtOnceIsInForceOnceTheBoundsHoldAgain)
{
    bringVersion7IntoForceAfterTheCopy();
    restore();
    writeDesiredState(7);
    writeDesiredState(9);
    std::this_thread::sleep_for(RecoveryTime);
    EXPECT_TRUE(allServe(9));
}

TEST_F(StoreRestore, WatchesThatWaitThroughItDoNotHideADesiredState)
{
    bringVersion7IntoForceAfterTheCopy();
    m_fleet.controlPlatform("/restore?watches=keep");
    writeDesiredState(7);
    writeDesiredState(9);
    std::this_thread::sleep_for(RecoveryTime + ChangeBound);
    EXPECT_TRUE(allServe(9));
}

TEST_F(StoreRestore, ANodeThatStartsAfterwardsIsNotLedBackByItsPeers)
{
    bringVersion7IntoForceAfterTheCopy();
    restore();
    writeDesiredState(9);
    const FleetNode &late = addNode("yard-c");
    ASSERT_TRUE(eventually(MaxWait, [&] {
        return serves(late, 9);
    }));
    const auto end = std::chrono::steady_clock::now() + seconds(6);
    while (std::chrono::steady_clock::now() < end) {
        EXPECT_TRUE(serves(late, 9));
        std::this_thread::sleep_for(SampleInterval);
    }
}

TEST_F(StoreRestore, ANodeThatStartsBeforeTheOperatorHasWrittenAgainTakesTheVersionOfItsPeers)
{
    bringVersion7IntoForceAfterTheCopy();
    restore();
    const FleetNode &late = addNode("yard-c");
    std::this_thread::sleep_for(RecoveryTime);
    EXPECT_TRUE(serves(late, 7));
}

TEST_F(StoreRestore, ASecondOneWhoseRevisionsAreOvertakenBeforeTheNextReadHidesNothing)
{
    bringVersion7IntoForceAfterTheCopy();
    restore();
    writeDesiredState(9);
    m_fleet.controlPlatform("/copy");
    writeDesiredState(11);
    writeDesiredState(13);
    std::this_thread::sleep_for(RecoveryTime);
    restore();
    writeDesiredState(15);
    m_fleet.controlPlatform("/advance?by=400");
    std::this_thread::sleep_for(RecoveryTime);
    EXPECT_TRUE(allServe(15));
}

TEST_F(StoreRestore, NodesWhoseObjectsAreGoneAreFoundByANodeThatStartsAfterwards)
{
    writeDesiredState(5);
    m_fleet.controlPlatform("/copy");
    addNode("yard-a");
    addNode("yard-b", "zone-b");
    ASSERT_TRUE(m_fleet.waitUntilListed(m_nodes.size()));
    restore();
    addNode("yard-c");
    EXPECT_TRUE(m_fleet.waitUntilListed(m_nodes.size()));
}

} // namespace fescuepond::test
