// The worker pool: a blocked lane doesn't delay others, thread limits hold, and nothing runs after stop().

#include "core/kernel/workerpool.h"

#include <gtest/gtest.h>

#include <atomic>
#include <future>

namespace fescuepond
{

TEST(WorkerPool, BlockedLaneDoesNotDelayAnother)
{
    WorkerPool pool({1, 1, 1, 1});
    std::promise<void> release;
    std::promise<void> decided;
    pool.post(Lane::Backend, [blocked = release.get_future().share()] {
        blocked.wait();
    });
    pool.post(Lane::Decision, [&] {
        decided.set_value();
    });
    EXPECT_EQ(decided.get_future().wait_for(std::chrono::seconds(30)), std::future_status::ready);
    release.set_value();
}

TEST(WorkerPool, LaneRespectsItsThreadLimit)
{
    constexpr std::size_t ThreadLimit = 3;
    constexpr int TaskCount = 200;
    WorkerPool pool({ThreadLimit, 1, 1, 1});
    std::atomic<int> running = 0;
    std::atomic<int> maxRunning = 0;
    std::atomic<int> done = 0;
    std::promise<void> finished;
    for (int i = 0; i < TaskCount; ++i) {
        pool.post(Lane::Decision, [&] {
            const int now = ++running;
            int seen = maxRunning;
            while (seen < now && !maxRunning.compare_exchange_weak(seen, now)) { }
            --running;
            if (++done == TaskCount) {
                finished.set_value();
            }
        });
    }
    finished.get_future().wait();
    EXPECT_LE(maxRunning, static_cast<int>(ThreadLimit));
    EXPECT_LE(pool.threadCount(), ThreadLimit);
}

TEST(WorkerPool, TaskPostedAfterStopIsDiscarded)
{
    WorkerPool pool({1, 1, 1, 1});
    pool.stop();
    bool isRun = false;
    pool.post(Lane::Decision, [&] {
        isRun = true;
    });
    EXPECT_FALSE(isRun);
    EXPECT_EQ(pool.threadCount(), 0);
}

} // namespace fescuepond
