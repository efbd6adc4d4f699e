// Following the configuration in virtual time: messages are lost, delayed, duplicated and reordered. Guards against
// nodes that never reach the newest version or return to an older one.

#include "servers/configuration/follower.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <tuple>

namespace fescuepond
{

namespace
{

Member member(int number, const std::string &zone)
{
    const std::string name = "node" + std::to_string(number);
    return Member().withName(name).withZone(zone).withPeerAddress("10.0.0." + std::to_string(number) + ":1");
}

Members makeMembers(int count)
{
    Members members;
    for (int i = 0; i < count; ++i) {
        members.push_back(member(i, "zone" + std::to_string(i % 3)));
    }
    return members;
}

/// A message in flight: the version that the sender has, or the text of that version.
struct Message {
    std::size_t m_from = 0;
    std::size_t m_to = 0;
    ConfigurationVersion m_version = 0;
    bool m_hasText = false;
    TimePoint m_arrival;
};

/// A fleet in virtual time whose nodes exchange versions as the plug-ins do.
class ModelFleet
{
public:
    explicit ModelFleet(std::size_t size)
        : m_members(makeMembers(static_cast<int>(size)))
        , m_states(size)
    {
    }

    void publishTo(std::size_t node, ConfigurationVersion version)
    {
        install(node, version);
    }

    /// One round of version exchanges and the deliveries due in it.
    void runRound(bool isLossy)
    {
        m_now += std::chrono::seconds(3);
        for (std::size_t i = 0; i < m_states.size(); ++i) {
            const auto peers = choosePeers(m_members, m_members[i], {}, 1, *rc::gen::arbitrary<std::uint64_t>());
            for (const std::string &address : peers) {
                send(i, indexOf(address), false, isLossy);
            }
        }
        deliverAll(isLossy);
    }

    bool allHold(ConfigurationVersion version) const
    {
        return std::all_of(m_states.begin(), m_states.end(), [&](const FollowerState &state) {
            return state.heldVersion() == version;
        });
    }

private:
    std::size_t indexOf(const std::string &address) const
    {
        const auto found = std::find_if(m_members.begin(), m_members.end(), [&](const Member &candidate) {
            return candidate.peerAddress() == address;
        });
        return static_cast<std::size_t>(found - m_members.begin());
    }

    void send(std::size_t from, std::size_t to, bool hasText, bool isLossy)
    {
        const int roll = isLossy ? *rc::gen::inRange(0, 10) : 9;
        const int copies = roll < 3 ? 0 : (roll == 3 ? 2 : 1);
        for (int i = 0; i < copies; ++i) {
            const auto delay = std::chrono::milliseconds(isLossy ? *rc::gen::inRange(0, 9000) : 1);
            m_messages.push_back({from, to, m_states[from].heldVersion(), hasText, m_now + delay});
        }
    }

    void deliverAll(bool isLossy)
    {
        while (true) {
            const auto due = std::min_element(m_messages.begin(), m_messages.end(), [](const auto &a, const auto &b) {
                return a.m_arrival < b.m_arrival;
            });
            if (due == m_messages.end() || due->m_arrival > m_now + std::chrono::seconds(3)) {
                return;
            }
            const Message message = *due;
            m_messages.erase(due);
            deliver(message, isLossy);
        }
    }

    void deliver(const Message &message, bool isLossy)
    {
        if (message.m_hasText) {
            install(message.m_to, message.m_version);
            return;
        }
        if (m_states[message.m_to].heldVersion() > message.m_version) {
            send(message.m_to, message.m_from, true, isLossy);
            return;
        }
        const FollowerStep next = observeVersion(m_states[message.m_to], message.m_version, message.m_arrival);
        m_states[message.m_to] = next.state();
        if (next.shouldPull()) {
            send(message.m_from, message.m_to, true, isLossy);
        }
    }

    void install(std::size_t node, ConfigurationVersion version)
    {
        const ConfigurationVersion before = m_states[node].heldVersion();
        const auto next = advanceTo(m_states[node], version);
        m_states[node] = finishPull(next.value_or(m_states[node]), version);
        RC_ASSERT(m_states[node].heldVersion() >= before);
        RC_ASSERT(m_states[node].heldVersion() == std::max(before, version));
    }

    Members m_members;
    std::vector<FollowerState> m_states;
    std::vector<Message> m_messages;
    TimePoint m_now = TimePoint(std::chrono::hours(1));
};

} // namespace

RC_GTEST_PROP(Follower, AllNodesReachTheNewestVersionAndNoneReturnsToAnOlderOne, ())
{
    ModelFleet fleet(*rc::gen::inRange<std::size_t>(2, 20));
    ConfigurationVersion newest = 0;
    for (int round = 0; round < 8; ++round) {
        newest += *rc::gen::inRange<ConfigurationVersion>(1, 4);
        fleet.publishTo(0, newest);
        fleet.runRound(true);
    }
    for (int round = 0; round < 40 && !fleet.allHold(newest); ++round) {
        fleet.runRound(false);
    }
    RC_ASSERT(fleet.allHold(newest));
}

TEST(Follower, TwoWatchersOfEachZoneAreChosenAndReplacedWhenTheyDie)
{
    Members members = makeMembers(30);
    const auto watchersOf = [&](const std::string &zone) {
        std::vector<std::string> names;
        for (const Member &candidate : members) {
            const bool isAlive = candidate.state() == MemberState::Alive;
            if (isAlive && candidate.zone() == zone && isWatcher(members, candidate)) {
                names.push_back(candidate.name());
            }
        }
        return names;
    };
    for (const std::string zone : {"zone0", "zone1", "zone2"}) {
        const auto before = watchersOf(zone);
        ASSERT_EQ(before.size(), WatchersPerZone);
        for (Member &candidate : members) {
            if (candidate.name() == before[0]) {
                candidate = candidate.withState(MemberState::Dead);
            }
        }
        const auto after = watchersOf(zone);
        ASSERT_EQ(after.size(), WatchersPerZone);
        EXPECT_NE(std::find(after.begin(), after.end(), before[1]), after.end());
    }
}

TEST(Follower, LossOfAllConnectionsIsNoticedInTimeForTheNextChange)
{
    using std::chrono::milliseconds;
    // Recovery time, change bound, and the time from the loss until a change made meanwhile is in force. The last pair
    // leaves no room for the shortest wait.
    for (const auto &[recoveryMs, boundMs, longestMs] : {std::tuple(3000, 2000, 3000),
                                                         std::tuple(3000, 2500, 3000),
                                                         std::tuple(4000, 3000, 4000),
                                                         std::tuple(3000, 4000, 4000),
                                                         std::tuple(2000, 1500, 3500)}) {
        const FollowBounds bounds = FollowBounds()
                                        .withRecoveryTime(milliseconds(recoveryMs))
                                        .withChangeBound(milliseconds(boundMs))
                                        .withCallTimeout(milliseconds(1000));
        const Duration longestRetryDelay = milliseconds(250);
        const Duration worst = firstWatchWait(bounds) + bounds.callTimeout() + longestRetryDelay + SpreadTime;
        EXPECT_LE(worst, milliseconds(longestMs));
        EXPECT_GE(firstWatchWait(bounds), MinWatchWait);
    }
    EXPECT_EQ(firstWatchWait(FollowBounds().withRecoveryTime(std::chrono::minutes(1))), MaxWatchWait);
}

RC_GTEST_PROP(Follower,
              FirstWatcherTriesAgainInTimeForTheNextChangeAfterAnOutageOfAnyLength,
              (std::uint64_t random, unsigned short failures))
{
    using std::chrono::milliseconds;
    for (const int recoveryMs : {2500, 3000, 4000}) {
        const FollowBounds bounds =
            FollowBounds().withRecoveryTime(milliseconds(recoveryMs)).withCallTimeout(milliseconds(1000));
        const Duration pause = watchRetryDelay(failures, WatcherRole::First, bounds, random);
        RC_ASSERT(bounds.callTimeout() + pause + SpreadTime <= milliseconds(recoveryMs));
        RC_ASSERT(pause >= milliseconds(125));
        RC_ASSERT(watchRetryDelay(failures, WatcherRole::Standby, bounds, random) == retryDelay(failures, random));
    }
}

TEST(Follower, StandInIsANodeOfTheZoneThatDoesNotWatch)
{
    Members members = makeMembers(30);
    for (const Member &self : members) {
        for (std::uint64_t random = 0; random < 5; ++random) {
            const std::string address = chooseStandIn(members, self, random);
            const auto chosen = std::find_if(members.begin(), members.end(), [&](const Member &member) {
                return member.peerAddress() == address;
            });
            ASSERT_NE(chosen, members.end());
            EXPECT_EQ(chosen->zone(), self.zone());
            EXPECT_NE(chosen->name(), self.name());
            EXPECT_EQ(watcherRole(members, *chosen), WatcherRole::None);
        }
    }
    EXPECT_EQ(chooseStandIn({members.front()}, members.front(), 1), "");
}

TEST(Follower, EachZoneHasOneFirstWatcher)
{
    const Members members = makeMembers(30);
    std::map<std::string, int> firsts;
    for (const Member &member : members) {
        firsts[member.zone()] += watcherRole(members, member) == WatcherRole::First ? 1 : 0;
    }
    for (const auto &[zone, count] : firsts) {
        EXPECT_EQ(count, 1) << zone;
    }
}

TEST(Follower, AVersionInFlightIsPulledAgainOnlyAfterTheTimeOut)
{
    const TimePoint now(std::chrono::hours(1));
    const FollowerStep first = observeVersion(FollowerState().withHeldVersion(4), 7, now);
    EXPECT_TRUE(first.shouldPull());
    EXPECT_FALSE(observeVersion(first.state(), 7, now + std::chrono::milliseconds(100)).shouldPull());
    EXPECT_TRUE(observeVersion(first.state(), 8, now + std::chrono::milliseconds(100)).shouldPull());
    EXPECT_TRUE(observeVersion(first.state(), 7, now + std::chrono::seconds(5)).shouldPull());
    EXPECT_FALSE(observeVersion(first.state(), 4, now + std::chrono::seconds(5)).shouldPull());
}

RC_GTEST_PROP(Follower, RetryDelaysHaveJitterAndBounds, (std::uint64_t random, unsigned short failures))
{
    const Duration pause = retryDelay(failures, random);
    RC_ASSERT(pause >= std::chrono::milliseconds(125));
    RC_ASSERT(pause <= std::chrono::seconds(10));
}

} // namespace fescuepond
