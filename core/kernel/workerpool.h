// The worker pool: all tasks of a node run on its threads, in lanes.
//
// A lane is a task queue with a maximum number of threads. A thread is started if more tasks are queued than threads of
// the lane are idle; idle threads sleep on a condition variable. Blocking tasks have lanes of their own, so that they
// can't delay decisions.

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
    Decision, ///< Tasks that never block, such as admission, routing and timers.
    Http, ///< Reads requests from callers and writes responses to them.
    Backend, ///< Waits for the local backend server; bounded by the concurrency limit.
    Platform, ///< Waits for the platform's object store.
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

    /// Queues `task`; after stop() it is discarded.
    void post(Lane lane, Task task);
    /// Discards queued tasks, waits for running tasks and joins all threads.
    void stop();
    std::size_t threadCount() const;

private:
    struct LaneState {
        std::deque<Task> m_tasks;
        std::vector<std::thread> m_threads;
        std::size_t m_idle = 0;
        std::size_t m_threadLimit = 1;
        std::condition_variable m_wake;
    };

    void run(LaneState &lane);

    mutable RankedMutex m_mutex{LockRank::WorkerPool};
    std::array<LaneState, LaneCount> m_lanes;
    bool m_stopped = false;
};

} // namespace fescuepond
