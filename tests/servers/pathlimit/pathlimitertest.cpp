// The window of a path: it follows the headroom that answers report, and callers of one bottleneck service share its
// slots.

#include "servers/pathlimit/pathlimiter.h"

#include <gtest/gtest.h>

#include <cmath>
#include <cstdint>
#include <vector>

namespace fescuepond
{

namespace
{

const TimePoint start{std::chrono::hours(1)};
const PathKey path = PathKey().withService("dispatch").withKind("stock");

AdmissionEntry entryOf(EntryId id)
{
    return AdmissionEntry()
        .withOrder(ShedOrder().withRootHash(id).withEntryId(id))
        .withDeadline(start + std::chrono::seconds(1));
}

/// Runs calls whose answers report a headroom of 0.1, so that the window shrinks.
void shrinkWindow(PathLimiter &limiter)
{
    constexpr EntryId FirstId = 1000;
    constexpr EntryId Count = 60;
    for (EntryId id = FirstId; id < FirstId + Count; ++id) {
        ASSERT_TRUE(limiter.submit(path, entryOf(id), ShareLimit::Applies, start).at(0).isAdmitted());
    }
    for (EntryId id = FirstId; id < FirstId + Count; ++id) {
        limiter.finished(path, id, 0.1, std::nullopt, start);
    }
}

} // namespace

TEST(PathWindow, ShrinksToTheSlotsDownstreamAndAFewMore)
{
    PathWindow window;
    for (int answer = 0; answer < 2000; ++answer) {
        const auto inFlight = static_cast<std::size_t>(window.size());
        window.update(60 / std::max(1.0, window.size()), inFlight);
    }
    EXPECT_GT(window.size(), 60);
    EXPECT_LT(window.size(), 75);
}

TEST(PathWindow, WindowsOfCallersOfOneServiceConverge)
{
    std::vector<PathWindow> windows(4);
    for (int answer = 0; answer < 200; ++answer) {
        windows[0].update(MaxHeadroom, 100); // The only caller so far.
    }
    for (int answer = 0; answer < 20'000; ++answer) {
        double sum = 0;
        for (const PathWindow &window : windows) {
            sum += window.size();
        }
        PathWindow &window = windows[static_cast<std::size_t>(answer) % windows.size()];
        window.update(std::min(MaxHeadroom, 100 / sum), static_cast<std::size_t>(window.size()));
    }
    for (const PathWindow &window : windows) {
        EXPECT_NEAR(window.size(), 26, 4);
    }
}

TEST(PathLimiter, PathWithoutHeadroomDoesNotBlockAnother)
{
    PathLimiter limiter{PathRules()};
    const PathKey other = path.withKind("browse");
    shrinkWindow(limiter);
    std::size_t admittedCount = 0;
    EntryId id = 1;
    for (; id <= 100; ++id) {
        for (const AdmissionDecision &decision : limiter.submit(path, entryOf(id), ShareLimit::Applies, start)) {
            admittedCount += decision.isAdmitted() ? 1 : 0;
        }
    }
    EXPECT_LT(admittedCount, 50U);
    EXPECT_GT(limiter.queued(), 0U);
    EXPECT_TRUE(limiter.submit(other, entryOf(id), ShareLimit::Applies, start).at(0).isAdmitted());
}

TEST(PathLimiter, CallThatMayBeTheBackendServersIsNotRefusedByTheShareOfItsPath)
{
    constexpr EntryId Count = 100;
    const auto countRefused = [&](ShareLimit shareLimit) {
        PathLimiter limiter{PathRules()};
        limiter.submit(path, entryOf(Count), shareLimit, start);
        limiter.finished(path, Count, 0.1, std::nullopt, start);
        int refused = 0;
        for (EntryId id = 0; id < Count; ++id) {
            // Hashes of root requests are spread over their whole range.
            const ShedOrder order = ShedOrder().withRootHash(id * (UINT64_MAX / Count)).withEntryId(id);
            const AdmissionEntry entry = entryOf(id).withOrder(order);
            refused += limiter.submit(path, entry, shareLimit, start).at(0).isAdmitted() ? 0 : 1;
        }
        return refused;
    };
    EXPECT_EQ(countRefused(ShareLimit::Applies), Count / 2) << "one report halves the share at most";
    EXPECT_EQ(countRefused(ShareLimit::None), 0);
}

TEST(PathLimiter, QueuedRequestIsRejectedAtItsDeadline)
{
    PathLimiter limiter{PathRules()};
    shrinkWindow(limiter);
    std::size_t decided = 0;
    for (EntryId id = 1; id <= 30; ++id) {
        decided += limiter.submit(path, entryOf(id), ShareLimit::Applies, start).size();
    }
    EXPECT_EQ(decided + limiter.queued(), 30U);
    EXPECT_EQ(limiter.nextExpiry(), start + std::chrono::seconds(1));
    const std::size_t waiting = limiter.queued();
    EXPECT_GT(waiting, 0U);
    EXPECT_EQ(limiter.expire(start + std::chrono::seconds(1)).size(), waiting);
    EXPECT_EQ(limiter.queued(), 0U);
}

} // namespace fescuepond
