// Membership with real processes: nodes that crash, pause or restart, and a platform that is down. Guards against calls
// that go to failed nodes for longer than the failure detection takes, and against members lost without a failure.

#include "tests/support/callers.h"
#include "tests/support/eventually.h"
#include "tests/support/fleet.h"

#include <gtest/gtest.h>

#include <csignal>
#include <functional>
#include <iostream>
#include <thread>

namespace fescuepond::test
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;
using SteadyTime = std::chrono::steady_clock::time_point;

constexpr const char *Yard = R"(
service: yard
kinds:
  - {name: stock, method: GET, path: /stock/*, rank: 5, idempotent: true, deadline_ms: 1000, retries: 0}
)";

HttpCall stockRequest()
{
    HttpCall call;
    call.host = "yard";
    call.path = "/stock/sleepers";
    return call;
}

/// Number of members in `state`, according to the metrics of `node` and including itself.
std::size_t memberCount(const FleetNode &node, const std::string &state)
{
    HttpCall call;
    call.path = "/metrics";
    const std::string text = sendHttp(node.operatorAddress, call).body;
    const std::string key = "fescuepond_members{state=\"" + state + "\"} ";
    const auto found = text.find(key);
    return found == std::string::npos ? 0 : static_cast<std::size_t>(std::stod(text.substr(found + key.size())));
}

long elapsedMs(SteadyTime time)
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - time).count();
}

/// Four targets of one service in two zones. Callers use the first and the last one.
struct FourTargets {
    FourTargets()
    {
        fleet.publish({Yard});
        for (const std::string name : {"yard-1", "yard-2", "yard-3", "yard-4"}) {
            const bool isFirst = name <= "yard-2";
            nodes.push_back(&fleet.addNode({.name = name, .service = "yard", .zone = isFirst ? "zone-a" : "zone-b"}));
        }
    }
    std::vector<std::string> fronts() const
    {
        return {nodes.front()->front, nodes.back()->front};
    }

    Fleet fleet;
    std::vector<FleetNode *> nodes;
};

} // namespace

TEST(Membership, KilledNodeGetsNoCallsAndItsCallsHaveAnUnknownOutcome)
{
    FourTargets targets;
    ASSERT_TRUE(targets.fleet.waitUntilReady(4));
    Callers callers(stockRequest(), targets.fronts(), 8, milliseconds(5));
    std::this_thread::sleep_for(seconds(1));

    const SteadyTime killed = std::chrono::steady_clock::now();
    targets.nodes[1]->process->signal(SIGKILL);
    const FleetNode &observer = *targets.nodes[0];
    EXPECT_TRUE(eventually(seconds(30), [&] {
        return memberCount(observer, "dead") == 1;
    }));
    std::cout << "dead after_ms=" << elapsedMs(killed) << '\n';

    const CallCounts counts = callers.stop();
    const auto lastFailure = std::chrono::duration_cast<milliseconds>(counts.lastFailure - killed).count();
    std::cout << counts.toString() << " last_failure_after_ms=" << lastFailure << '\n';
    EXPECT_EQ(counts.incomplete, 0);
    EXPECT_LT(lastFailure, 5000);
    // A call that was in flight to the killed node may have run, so that its outcome is unknown.
    for (const auto &[what, count] : counts.failed) {
        EXPECT_NE(what.find("outcome-unknown"), std::string::npos) << what;
    }
    EXPECT_LE(counts.failedTotal(), 16);
    EXPECT_EQ(memberCount(observer, "alive"), 3);
}

TEST(Membership, PausedNodeGetsNoCallsUntilItResumes)
{
    FourTargets targets;
    ASSERT_TRUE(targets.fleet.waitUntilReady(4));
    Callers callers(stockRequest(), targets.fronts(), 8, milliseconds(5));
    std::this_thread::sleep_for(seconds(1));

    FleetNode &paused = *targets.nodes[1];
    const SteadyTime pausedAt = std::chrono::steady_clock::now();
    paused.process->pause();
    EXPECT_TRUE(eventually(seconds(30), [&] {
        return memberCount(*targets.nodes[0], "alive") == 3;
    }));
    std::cout << "not alive after_ms=" << elapsedMs(pausedAt) << '\n';
    std::this_thread::sleep_for(seconds(3));
    const int failed = callers.counts().failedTotal();
    std::this_thread::sleep_for(seconds(2));
    EXPECT_LE(callers.counts().failedTotal(), failed) << callers.counts().toString();

    const std::size_t before = paused.journalLines("begin").size();
    const SteadyTime continued = std::chrono::steady_clock::now();
    paused.process->signal(SIGCONT);
    EXPECT_TRUE(eventually(seconds(30), [&] {
        return memberCount(*targets.nodes[0], "alive") == 4 && memberCount(*targets.nodes[3], "alive") == 4;
    }));
    std::cout << "alive again after_ms=" << elapsedMs(continued) << '\n';
    EXPECT_TRUE(eventually(seconds(10), [&] {
        return paused.journalLines("begin").size() > before + 10;
    }));
    const CallCounts counts = callers.stop();
    std::cout << counts.toString() << '\n';
    EXPECT_EQ(counts.incomplete, 0);
}

TEST(Membership, NodesJoinThroughSeedPeersWithoutThePlatform)
{
    Fleet fleet;
    FleetNode &first = fleet.addNode({.name = "yard-1", .service = "yard"});
    fleet.setPlatformMode("down=1");
    FleetNode &second =
        fleet.addNode({.name = "yard-2", .service = "yard", .settings = {"seed_peers: ['" + first.peer + "']"}});
    FleetNode &third =
        fleet.addNode({.name = "yard-3", .service = "yard", .settings = {"seed_peers: ['" + first.peer + "']"}});
    for (const FleetNode *node : {&first, &second, &third}) {
        EXPECT_TRUE(eventually(seconds(20), [&] {
            return memberCount(*node, "alive") == 3;
        })) << node->options.name;
    }
    // The node announces itself to the platform as soon as the platform is reachable.
    fleet.setPlatformMode("");
    EXPECT_NE(second.process->waitForLine("event=announced"), "");
}

TEST(Membership, PlatformOutageAffectsNeitherMembersNorCalls)
{
    FourTargets targets;
    ASSERT_TRUE(targets.fleet.waitUntilReady(4));
    targets.fleet.setPlatformMode("down=1");
    Callers callers(stockRequest(), targets.fronts(), 4, milliseconds(5));
    std::this_thread::sleep_for(seconds(5));
    const CallCounts counts = callers.stop();
    EXPECT_EQ(counts.incomplete + counts.failedTotal(), 0) << counts.toString();
    for (const FleetNode *node : targets.nodes) {
        EXPECT_EQ(memberCount(*node, "alive"), 4);
    }
}

TEST(Membership, RestartWithTheSameNameReplacesTheEarlierIncarnation)
{
    FourTargets targets;
    ASSERT_TRUE(targets.fleet.waitUntilReady(4));
    FleetNode &node = *targets.nodes[1];
    const std::string earlier = node.peer;
    node.process->signal(SIGKILL);
    targets.fleet.restartNode(node);
    ASSERT_NE(node.peer, earlier);
    HttpCall status;
    status.path = "/status";
    for (const FleetNode *other : targets.nodes) {
        EXPECT_TRUE(eventually(seconds(20), [&] {
            const std::string text = sendHttp(other->operatorAddress, status).body;
            return text.find(node.peer) != std::string::npos && text.find(earlier) == std::string::npos;
        })) << other->options.name;
    }
    EXPECT_TRUE(targets.fleet.waitUntilReady(4));
}

TEST(Membership, NodesThatStartWhileNeitherIsStoredYetFindEachOther)
{
    Fleet fleet;
    fleet.publish({Yard});
    // Each lists the nodes before the other's object is stored.
    fleet.setPlatformMode("late=1500");
    fleet.addNode({.name = "yard-1", .service = "yard"});
    fleet.addNode({.name = "yard-2", .service = "yard"});
    std::this_thread::sleep_for(seconds(1));
    fleet.setPlatformMode("up");
    EXPECT_TRUE(fleet.waitUntilReady(2));
}

} // namespace fescuepond::test
