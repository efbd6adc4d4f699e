// The timer service: runs callbacks once or periodically on the decision lane of the worker pool.
//
// One thread sleeps until the earliest subscription is due. Tests with a manual clock don't start the thread: they
// advance the clock and call runDue().

#pragma once

#include "core/kernel/clock.h"
#include "core/kernel/lockorder.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <thread>
#include <unordered_map>

namespace fescuepond
{

class WorkerPool;

class TimerService
{
public:
    using Callback = std::function<void()>;
    using SubscriptionId = std::uint64_t;

    /// Callbacks are posted to `pool`; if it is null, runDue() calls them directly.
    TimerService(const Clock &clock, WorkerPool *pool);
    ~TimerService();
    TimerService(const TimerService &) = delete;
    TimerService &operator=(const TimerService &) = delete;

    /// Starts the thread that waits for subscriptions to become due.
    void start();
    void stop();

    SubscriptionId once(TimePoint at, Callback callback);
    /// The first call is made after one `interval`. The next is due one `interval` after the previous was dispatched.
    SubscriptionId every(Duration interval, Callback callback);
    /// Cancels a subscription. A callback that was already posted may still run.
    void cancel(SubscriptionId id);

    /// Dispatches all callbacks that are due and returns their number.
    std::size_t runDue();
    const Clock &clock() const
    {
        return m_clock;
    }

private:
    struct Subscription {
        SubscriptionId m_id = 0;
        Duration m_interval{}; ///< Zero: not periodic.
        Callback m_callback;
    };
    using Queue = std::multimap<TimePoint, Subscription>;

    SubscriptionId add(TimePoint at, Duration interval, Callback callback);
    void run();
    void dispatch(const Callback &callback);

    const Clock &m_clock;
    WorkerPool *const m_pool;
    RankedMutex m_mutex{LockRank::Timers};
    std::condition_variable_any m_wake;
    Queue m_queue; ///< Ordered by due time.
    std::unordered_map<SubscriptionId, Queue::iterator> m_byId; ///< Has exactly the entries of m_queue.
    SubscriptionId m_nextId = 1;
    bool m_stopped = false;
    std::thread m_thread;
};

} // namespace fescuepond
