// The order of the admission queue: rank, hash, kept shares, shedding of the least important entry.

#include "servers/admission/admissionqueue.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>

namespace fescuepond
{

namespace
{

const TimePoint start{std::chrono::hours(1)};
const TimePoint later = start + std::chrono::seconds(1);

AdmissionEntry entryOf(EntryId id, Rank rank, std::uint64_t hash = 0, const std::string &kind = "kind")
{
    return AdmissionEntry()
        .withOrder(ShedOrder().withRank(rank).withRootHash(hash).withEntryId(id))
        .withRootKind(kind)
        .withDeadline(later);
}

} // namespace

TEST(AdmissionQueue, MostImportantEntryIsAdmittedFirst)
{
    AdmissionQueue queue{QueueRules()};
    queue.push(entryOf(1, 5, 7), later, 10, 0);
    queue.push(entryOf(2, 3, 9), later, 10, 0);
    queue.push(entryOf(3, 3, 4), later, 10, 0);
    EXPECT_EQ(queue.admitNext(3)->id(), 3U);
    EXPECT_EQ(queue.admitNext(3)->id(), 2U);
    EXPECT_EQ(queue.admitNext(3)->id(), 1U);
}

TEST(AdmissionQueue, FullQueueRejectsTheLeastImportantEntryRatherThanTheNewest)
{
    AdmissionQueue queue{QueueRules()};
    EXPECT_FALSE(queue.push(entryOf(1, 5), later, 1, 0));
    const auto rejected = queue.push(entryOf(2, 1), later, 1, 0);
    ASSERT_TRUE(rejected);
    EXPECT_EQ(rejected->id(), 1U);
    EXPECT_EQ(queue.push(entryOf(3, 9), later, 1, 0)->id(), 3U);
}

TEST(AdmissionQueue, KindKeepsItsShareOfSlotsAgainstMoreUrgentOnes)
{
    AdmissionQueue queue{QueueRules()};
    for (EntryId id = 1; id <= 20; ++id) {
        queue.push(entryOf(id, 0, id, "flood"), later, 40, 0);
    }
    for (EntryId id = 21; id <= 30; ++id) {
        queue.push(entryOf(id, 6, id, "menu").withKeptShare(0.2), later, 40, 0);
    }
    std::size_t menus = 0;
    while (const auto entry = queue.admitNext(10)) {
        menus += entry->rootKind() == "menu" ? 1 : 0;
    }
    EXPECT_EQ(menus, 2U);
}

TEST(AdmissionQueue, HeadroomCountsOnlyMoreImportantCalls)
{
    AdmissionQueue queue{QueueRules()};
    for (EntryId id = 1; id <= 10; ++id) {
        queue.push(entryOf(id, 5, id, "bulk"), later, 20, 4);
    }
    while (queue.admitNext(4)) { }
    EXPECT_DOUBLE_EQ(queue.headroom(entryOf(11, 5, 0, "bulk"), 4), 0.4);
    EXPECT_DOUBLE_EQ(queue.headroom(entryOf(12, 0, 0, "urgent"), 4), MaxHeadroom);
}

TEST(AdmissionQueue, LeastImportantEntriesAreShedInRandomRuns)
{
    ASSERT_TRUE(rc::check("rejected entries are the least important ones", [] {
        AdmissionQueue queue{QueueRules()};
        std::vector<AdmissionEntry> waiting;
        const auto capacity = *rc::gen::inRange<std::size_t>(1, 8);
        const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(0, 9)));
        EntryId id = 1;
        for (const auto &[rank, hash] : steps) {
            const AdmissionEntry entry = entryOf(id++, rank, static_cast<std::uint64_t>(hash));
            waiting.push_back(entry);
            const auto rejected = queue.push(entry, later, capacity, 0);
            if (rejected) {
                for (const AdmissionEntry &other : waiting) {
                    RC_ASSERT(other.order() <= rejected->order());
                }
                std::erase(waiting, *rejected);
            }
            RC_ASSERT(queue.queued() == waiting.size());
            RC_ASSERT(queue.queued() <= capacity);
        }
    }));
}

} // namespace fescuepond
