// The worker pool: its threads and task queues.

#include "core/kernel/workerpool.h"

#include <mutex>

namespace fescuepond
{

WorkerPool::WorkerPool(ThreadLimits threadLimits)
{
    for (std::size_t i = 0; i < LaneCount; ++i) {
        m_lanes[i].m_threadLimit = threadLimits[i];
    }
}

WorkerPool::~WorkerPool()
{
    stop();
}

void WorkerPool::post(Lane lane, Task task)
{
    LaneState &state = m_lanes[static_cast<std::size_t>(lane)];
    {
        const std::lock_guard guard(m_mutex);
        if (m_stopped) {
            return;
        }
        state.m_tasks.push_back(std::move(task));
        if (state.m_idle < state.m_tasks.size() && state.m_threads.size() < state.m_threadLimit) {
            state.m_threads.emplace_back([this, &state] {
                run(state);
            });
        }
    }
    // Without the lock: the woken thread would otherwise wait for it at once.
    state.m_wake.notify_one();
}

void WorkerPool::stop()
{
    std::vector<std::thread> threads;
    {
        const std::lock_guard guard(m_mutex);
        m_stopped = true;
        for (LaneState &lane : m_lanes) {
            lane.m_tasks.clear();
            lane.m_wake.notify_all();
            for (std::thread &thread : lane.m_threads) {
                threads.push_back(std::move(thread));
            }
            lane.m_threads.clear();
        }
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
}

std::size_t WorkerPool::threadCount() const
{
    const std::lock_guard guard(m_mutex);
    std::size_t count = 0;
    for (const LaneState &lane : m_lanes) {
        count += lane.m_threads.size();
    }
    return count;
}

void WorkerPool::run(LaneState &lane)
{
    std::unique_lock lock(m_mutex);
    while (true) {
        ++lane.m_idle;
        m_mutex.wait(lane.m_wake, [&] {
            return m_stopped || !lane.m_tasks.empty();
        });
        --lane.m_idle;
        if (m_stopped) {
            return;
        }
        Task task = std::move(lane.m_tasks.front());
        lane.m_tasks.pop_front();
        lock.unlock();
        task();
        // The task's captures are destroyed before the lock is acquired: their destructors may acquire other locks.
        task = nullptr;
        lock.lock();
    }
}

} // namespace fescuepond
