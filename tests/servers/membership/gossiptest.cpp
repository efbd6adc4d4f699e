// Gossip in virtual time: up to some hundred views exchange messages directly, with message loss and network partitions
// drawn from a seed. Guards against failed members that not all nodes notice, live members declared dead, and old
// records that bring back a member.

#include "servers/membership/gossip.h"
#include "servers/membership/announcement.h"
#include "servers/membership/broadcast.h"
#include "servers/membership/memberrecord.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <functional>
#include <random>

namespace fescuepond
{

namespace
{

constexpr std::size_t ZoneCount = 4;
constexpr int SyncIntervalSeconds = 10;
constexpr std::size_t IndirectProberCount = 3;

Member record(const std::string &name, std::uint64_t startedAtMs, std::uint64_t sequence, MemberState state)
{
    return Member()
        .withIsServing(true)
        .withName(name)
        .withStartedAtMs(startedAtMs)
        .withIncarnation(Incarnation(startedAtMs, nameHash(name)))
        .withSequence(sequence)
        .withState(state)
        .withService("yard")
        .withPeerAddress(name);
}

/// Views that exchange messages every second. A message is lost if `isLost(sender, receiver)`.
class Gossip
{
public:
    Gossip(std::size_t count, std::uint64_t seed)
        : m_random(seed)
    {
        Members members;
        for (std::size_t i = 0; i < count; ++i) {
            members.push_back(record("node-" + std::to_string(i), 1000, 0, MemberState::Alive)
                                  .withZone("zone-" + std::to_string(i % ZoneCount)));
        }
        for (const Member &member : members) {
            Members others = members;
            std::erase(others, member);
            m_views.emplace(member.name(), mergeRecords(MemberView(member, m_clock.now()), others, m_clock.now()));
        }
    }

    std::map<std::string, MemberView> &views()
    {
        return m_views;
    }
    TimePoint now() const
    {
        return m_clock.now();
    }
    void stop(const std::string &name)
    {
        m_stopped.insert(name);
    }
    void start(const std::string &name)
    {
        m_stopped.erase(name);
    }
    void setLoss(std::function<bool(const MemberView &, const MemberView &)> isLost)
    {
        m_isLost = std::move(isLost);
    }
    bool chance(double probability)
    {
        return std::uniform_real_distribution<>()(m_random) < probability;
    }

    void run(int seconds)
    {
        for (int second = 0; second < seconds; ++second) {
            m_clock.advance(std::chrono::seconds(1));
            ++m_second;
            for (auto &[name, view] : m_views) {
                if (!m_stopped.contains(name)) {
                    tick(view);
                }
            }
        }
    }

    /// Running views, except that of `name`, in which `name` doesn't have the state.
    std::size_t disagreeing(const std::string &name, MemberState state) const
    {
        return static_cast<std::size_t>(std::count_if(m_views.begin(), m_views.end(), [&](const auto &entry) {
            const Member *member = entry.second.find(name);
            return entry.first != name && !m_stopped.contains(entry.first)
                && (member == nullptr || member->state() != state);
        }));
    }
    /// Sum over the running views of members in `state`.
    std::size_t countOf(MemberState state) const
    {
        std::size_t count = 0;
        for (const auto &[name, view] : m_views) {
            if (m_stopped.contains(name)) {
                continue;
            }
            const Members all = view.all();
            count += static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [&](const Member &member) {
                return member.state() == state;
            }));
        }
        return count;
    }
    std::size_t maxRecordsOnMessage() const
    {
        return m_maxRecords;
    }

private:
    bool ask(MemberView &from, const std::string &to, const GossipRequest &request, GossipReply *reply = nullptr)
    {
        m_maxRecords = std::max(m_maxRecords, request.records().size());
        MemberView &target = m_views.at(to);
        const bool isLostOnTheWay = m_stopped.contains(to) || m_isLost(from, target);
        if (isLostOnTheWay) {
            return false;
        }
        auto step = answerRequest(std::move(target), request, now());
        target = std::move(step.view);
        if (m_isLost(target, from)) {
            return false;
        }
        from = mergeReply(std::move(from), step.message, now());
        if (reply != nullptr) {
            *reply = step.message;
        }
        return true;
    }

    bool probe(MemberView &from, const std::string &to)
    {
        auto step = makeProbe(std::move(from), to);
        from = std::move(step.view);
        return ask(from, to, step.message);
    }

    void tick(MemberView &view)
    {
        view = expireMembers(std::move(view), now());
        if (m_second % SyncIntervalSeconds == 0) {
            sync(view);
        }
        const auto probed = chooseProbeTarget(view, m_random());
        if (!probed || probe(view, probed->name()) || probed->state() == MemberState::Dead) {
            return;
        }
        bool hasProberAnswered = false;
        for (const Member &prober : chooseAliveMembers(view, probed->name(), IndirectProberCount, m_random())) {
            const auto request = GossipRequest().withKind(GossipKind::IndirectProbe).withSender(view.self());
            if (!ask(view, prober.name(), request)) {
                continue;
            }
            hasProberAnswered = true;
            if (probe(m_views.at(prober.name()), probed->name())) {
                return;
            }
        }
        if (hasProberAnswered) {
            view = recordProbeFailure(std::move(view), *probed, now());
        }
    }

    void sync(MemberView &view)
    {
        const auto other = chooseSyncPeer(view, m_random());
        GossipReply digestReply;
        if (!other || !ask(view, other->name(), makeDigestSync(view), &digestReply)) {
            return;
        }
        if (const auto request = makeRecordSync(view, digestReply)) {
            ask(view, other->name(), *request);
        }
    }

    ManualClock m_clock;
    std::mt19937_64 m_random;
    int m_second = 0;
    std::map<std::string, MemberView> m_views;
    NameSet m_stopped;
    std::size_t m_maxRecords = 0;
    std::function<bool(const MemberView &, const MemberView &)> m_isLost = [](const auto &, const auto &) {
        return false;
    };
};

rc::Gen<Member> anyRecord()
{
    return rc::gen::apply(
        [](int name, std::uint64_t started, std::uint64_t sequence, int state) {
            return record("node-" + std::to_string(name), started, sequence, static_cast<MemberState>(state));
        },
        rc::gen::inRange(0, 4),
        rc::gen::inRange<std::uint64_t>(1, 4),
        rc::gen::inRange<std::uint64_t>(0, 4),
        rc::gen::inRange(0, 4));
}

} // namespace

RC_GTEST_PROP(MemberMerge, OrderOfMessagesDoesNotMatter, ())
{
    const auto records = *rc::gen::container<Members>(anyRecord());
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    const TimePoint now = ManualClock().now();
    const MemberView start(record("self", 2, 0, MemberState::Alive), now);
    // Dead records of unknown members are ignored, so both views start with all members known.
    Members known;
    for (int i = 0; i < 4; ++i) {
        known.push_back(record("node-" + std::to_string(i), 1, 0, MemberState::Alive));
    }
    Members shuffled = records;
    std::shuffle(shuffled.begin(), shuffled.end(), std::mt19937(seed));
    const MemberView one = mergeRecords(mergeRecords(start, known, now), records, now);
    const MemberView other = mergeRecords(mergeRecords(start, known, now), shuffled, now);
    RC_ASSERT(one.all() == other.all());
    RC_ASSERT(mergeRecords(one, records, now).all() == one.all());
}

RC_GTEST_PROP(MemberMerge, OwnRecordIsRefutedNeverOverridden, ())
{
    const auto claimed = *anyRecord();
    const TimePoint now = ManualClock().now();
    const Member self = record(claimed.name(), 2, 1, MemberState::Alive);
    const Member after = mergeRecords(MemberView(self, now), {claimed}, now).self();
    RC_ASSERT(after.state() == MemberState::Alive);
    RC_ASSERT(after.incarnation() == self.incarnation());
    RC_ASSERT(!overrides(claimed, after));
}

TEST(Gossip, DeadMemberIsKnownToAllAndNobodyElseIsDeclaredDead)
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        Gossip gossip(100, seed);
        gossip.run(5);
        gossip.stop("node-7");
        gossip.run(30);
        EXPECT_EQ(gossip.disagreeing("node-7", MemberState::Dead), 0) << "seed " << seed;
        EXPECT_EQ(gossip.countOf(MemberState::Dead), 99) << "seed " << seed;
        EXPECT_LE(gossip.maxRecordsOnMessage(), 17);
    }
}

TEST(Gossip, MessageLossLeavesNoMemberDead)
{
    Gossip gossip(100, 4);
    gossip.setLoss([&](const MemberView &, const MemberView &) {
        return gossip.chance(0.2);
    });
    gossip.run(120);
    gossip.setLoss([](const auto &, const auto &) {
        return false;
    });
    gossip.run(60);
    EXPECT_EQ(gossip.countOf(MemberState::Alive), 100 * 100);
}

TEST(Gossip, PartitionedZoneIsKeptAndUsedAgainAfterwards)
{
    for (const std::uint64_t seed : {5, 6}) {
        Gossip gossip(100, seed);
        gossip.setLoss([](const MemberView &a, const MemberView &b) {
            return (a.self().zone() == "zone-0") != (b.self().zone() == "zone-0");
        });
        gossip.run(120);
        EXPECT_EQ(gossip.countOf(MemberState::Dead), 0) << "seed " << seed;
        EXPECT_TRUE(isZoneUnreachable(gossip.views().at("node-1"), "zone-0"));
        EXPECT_TRUE(isZoneUnreachable(gossip.views().at("node-0"), "zone-1"));
        EXPECT_FALSE(isZoneUnreachable(gossip.views().at("node-1"), "zone-2"));
        // They remain targets for callers without another choice.
        EXPECT_EQ(targetsOf(gossip.views().at("node-1"), "yard").size(), 100);
        gossip.setLoss([](const auto &, const auto &) {
            return false;
        });
        gossip.run(60);
        EXPECT_EQ(gossip.countOf(MemberState::Alive), 100 * 100) << "seed " << seed;
    }
}

TEST(Gossip, IsolatedNodeDeclaresNoOtherDead)
{
    Gossip gossip(60, 7);
    gossip.setLoss([](const MemberView &a, const MemberView &b) {
        return a.self().name() == "node-3" || b.self().name() == "node-3";
    });
    gossip.run(60);
    EXPECT_EQ(gossip.disagreeing("node-3", MemberState::Dead), 0);
    EXPECT_EQ(gossip.views().at("node-3").others().size(), 59);
    gossip.setLoss([](const auto &, const auto &) {
        return false;
    });
    gossip.run(30);
    EXPECT_EQ(gossip.countOf(MemberState::Alive), 60 * 60);
}

TEST(Gossip, ResumedNodeIsAliveAgainAndSpreadsNoOldRecord)
{
    Gossip gossip(60, 8);
    gossip.run(5);
    gossip.stop("node-3");
    gossip.run(40);
    ASSERT_EQ(gossip.disagreeing("node-3", MemberState::Dead), 0);
    auto &views = gossip.views();
    // Another member leaves while it is paused.
    views.at("node-9") = MemberView(views.at("node-9"))
                             .withSelf(views.at("node-9").self().withState(MemberState::Leaving).withSequence(1));
    gossip.run(20);
    gossip.stop("node-9");
    gossip.run(20);
    gossip.start("node-3");
    gossip.run(40);
    EXPECT_EQ(gossip.disagreeing("node-3", MemberState::Alive), 0);
    EXPECT_EQ(gossip.disagreeing("node-9", MemberState::Dead), 0);
}

TEST(Gossip, RestartedNodeOverridesItsPreviousIncarnationEvenIfItsClockIsBehind)
{
    Gossip gossip(40, 9);
    auto &views = gossip.views();
    const Member restarted = record("node-3", 900, 0, MemberState::Alive).withZone("zone-3");
    views.at("node-3") = mergeRecords(MemberView(restarted, gossip.now()), {views.at("node-1").self()}, gossip.now());
    gossip.run(30);
    for (const auto &[name, view] : views) {
        EXPECT_EQ(view.find("node-3")->incarnation(), restarted.incarnation()) << name;
        EXPECT_EQ(view.find("node-3")->state(), MemberState::Alive) << name;
    }
}

TEST(Gossip, LeavingMemberIsNoTarget)
{
    const TimePoint now = ManualClock().now();
    MemberView view(record("self", 1, 0, MemberState::Alive).withService("katalog"), now);
    view = mergeRecords(view, {record("a", 1, 0, MemberState::Alive), record("b", 1, 0, MemberState::Alive)}, now);
    view = mergeRecords(view, {record("a", 1, 1, MemberState::Leaving)}, now);
    // A delayed older record doesn't bring it back.
    view = mergeRecords(view, {record("a", 1, 0, MemberState::Suspect)}, now);
    const Members targets = targetsOf(view, "yard");
    ASSERT_EQ(targets.size(), 1);
    EXPECT_EQ(targets.front().name(), "b");
}

TEST(Broadcast, ReachesEveryMemberOnceWithFewMessagesPerNode)
{
    Gossip gossip(300, 10);
    auto &views = gossip.views();
    const std::string subject = "node-0";
    std::map<std::string, int> reached;
    std::size_t maxSends = 0;
    std::function<void(const std::string &, const BroadcastMessage &)> forward = [&](const std::string &at,
                                                                                     const BroadcastMessage &message) {
        const auto parts = splitBroadcast(views.at(at), message);
        maxSends = std::max(maxSends, parts.size());
        for (const BroadcastPart &part : parts) {
            const std::string &relay = part.relays().front().name();
            ++reached[relay];
            forward(relay, part.message());
        }
    };
    forward(subject, BroadcastMessage().withRecord(views.at(subject).self()).withRange(HashRange::all()));
    EXPECT_EQ(reached.size(), 299);
    EXPECT_LE(maxSends, 8);
    for (const auto &[name, times] : reached) {
        EXPECT_EQ(times, 1) << name;
    }
}

TEST(Announcement, DecidesByTheObjectAtThePlatform)
{
    const Member self = record("a", 2, 0, MemberState::Alive);
    const Member earlier = record("a", 1, 9, MemberState::Alive);
    const Member later = record("a", 3, 0, MemberState::Alive);
    const auto decide = [&](StoreStatus status, const std::optional<Member> &found) {
        const NodeObject object = afterRead(NodeObject(), ObjectRevision().withNumber(7), {}, true);
        return decideAnnouncement(self, status, object, found);
    };
    EXPECT_EQ(decide(StoreStatus::NotFound, {}), AnnounceAction::Write);
    EXPECT_EQ(decide(StoreStatus::Unavailable, {}), AnnounceAction::RetryLater);
    EXPECT_EQ(decide(StoreStatus::Ok, self), AnnounceAction::None);
    EXPECT_EQ(decide(StoreStatus::Ok, earlier), AnnounceAction::Write);
    EXPECT_EQ(decide(StoreStatus::Ok, later), AnnounceAction::Superseded);
    EXPECT_FALSE(isStale(earlier, self));
    EXPECT_TRUE(isStale(earlier, earlier));
}

TEST(Announcement, ObjectThatLacksDeparturesIsWrittenAgain)
{
    const Member self = record("a", 2, 0, MemberState::Alive);
    const Departures departures = {Departure().withInstance("i-1").withStartedAtMs(5)};
    const ObjectRevision revision = ObjectRevision().withNumber(7);
    const NodeObject wanted = NodeObject().withDepartures(departures);
    // As after a restore from a copy that this process wrote before the departure.
    const NodeObject lacking = afterRead(wanted, revision, {}, true);
    EXPECT_FALSE(lacking.holds(departures));
    EXPECT_EQ(decideAnnouncement(self, StoreStatus::Ok, lacking, self), AnnounceAction::Write);
    const NodeObject holding = afterRead(wanted, revision, departures, true);
    EXPECT_TRUE(holding.holds(departures));
    EXPECT_EQ(decideAnnouncement(self, StoreStatus::Ok, holding, self), AnnounceAction::None);
    EXPECT_FALSE(afterRead(wanted, revision, departures, false).holds(departures)) << "an earlier process's object";
    EXPECT_FALSE(afterRestore(holding).holds(departures));
    EXPECT_EQ(restoreCheckDelay(holding, 7), Duration::zero());
}

TEST(Announcement, OlderListOfDeparturesTakesNothingOutOfANewerOne)
{
    const Departure first = Departure().withInstance("i-1").withStartedAtMs(5);
    const Departure second = Departure().withInstance("i-2").withStartedAtMs(6);
    const NodeObject newer = afterKeep(NodeObject(), {first, second});
    EXPECT_EQ(afterKeep(newer, {first}), newer);
    NodeObject full = newer;
    for (std::uint64_t i = 0; i < MaxDepartures; ++i) {
        full = afterKeep(full, {Departure().withInstance("i-3").withStartedAtMs(7 + i)});
    }
    EXPECT_EQ(full.departures().size(), MaxDepartures);
    EXPECT_EQ(full.departures().back().startedAtMs(), 6 + MaxDepartures);
}

TEST(Announcement, BackendServerDoesNotWaitLongForTheStoreAfterItIsBack)
{
    const NodeObject waiting;
    const NodeObject recovered = waiting.withHasRecovered(true);
    for (const int failures : {0, 1, 3, 6, 50}) {
        for (const std::uint64_t random : {std::uint64_t{0}, ~std::uint64_t{0}}) {
            EXPECT_GT(announceRetryDelay(waiting, failures, random), Duration::zero());
            EXPECT_LE(announceRetryDelay(waiting, failures, random), std::chrono::seconds(2));
            EXPECT_LE(announceRetryDelay(recovered, failures, random), std::chrono::seconds(30));
        }
    }
    EXPECT_GE(announceRetryDelay(recovered, 50, 0), std::chrono::seconds(15));
}

TEST(Announcement, ExactlyOneMemberDeletesTheObjectOfADeadOne)
{
    Gossip gossip(50, 11);
    gossip.stop("node-7");
    gossip.run(720);
    std::size_t collectors = 0;
    for (const auto &[name, view] : gossip.views()) {
        collectors += name == "node-7" ? 0 : staleObjectsFor(view, gossip.now()).size();
    }
    EXPECT_EQ(collectors, 1);
}

} // namespace fescuepond
