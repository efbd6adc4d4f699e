// The worker pool: all work of a node runs on its threads, in lanes.
//
// A lane has a queue and a greatest number of threads. Threads start when work waits and no thread of the lane is
// idle; idle threads sleep on a condition variable. Work that may block has lanes of its own, so that it can't hold up
// decisions.

#pragma once

#include "core/kernel/lockorder.h"

#include <array>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <thread>
#include <vector>

namespace fescuepond
{

enum class Lane {
    Decision, ///< Never blocks.
    Http, ///< Reads from and writes to callers.
    Backend, ///< Waits for the local backend server; bounded by the concurrency limit.
    Platform, ///< Waits for the platform's object API.
};
constexpr std::size_t LaneCount = 4;

class WorkerPool
{
public:
    using Task = std::function<void()>;
    using ThreadLimits = std::array<std::size_t, LaneCount>;

    explicit WorkerPool(ThreadLimits threadLimits);
    ~WorkerPool();
    WorkerPool(const WorkerPool &) = delete;
    WorkerPool &operator=(const WorkerPool &) = delete;

    /// Queues `task`; it is dropped after stop().
    void post(Lane lane, Task task);
    /// Finishes the tasks that run, drops those that wait, and ends all threads.
    void stop();
    std::size_t threadCount() const;

private:
    struct LaneState {
        std::deque<Task> m_tasks;
        std::vector<std::thread> m_threads;
        std::size_t m_idle = 0;
        std::size_t m_threadLimit = 1;
        std::condition_variable_any m_wake;
    };

    void run(LaneState &lane);

    mutable RankedMutex m_mutex{LockRank::WorkerPool};
    std::array<LaneState, LaneCount> m_lanes;
    bool m_stopped = false;
};

} // namespace fescuepond
