// The timer service: the queue of subscriptions and the thread that waits for the earliest.

#include "core/kernel/timerservice.h"

#include "core/kernel/workerpool.h"

#include <algorithm>
#include <mutex>
#include <optional>
#include <vector>

namespace fescuepond
{

namespace
{

/// A wait doesn't count the time during which the machine is suspended, so timers that are due then are this late.
constexpr Duration MaxSleep = std::chrono::milliseconds(250);

} // namespace

TimerService::TimerService(const Clock &clock, WorkerPool *pool)
    : m_clock(clock)
    , m_pool(pool)
{
}

TimerService::~TimerService()
{
    stop();
}

void TimerService::start()
{
    m_thread = std::thread([this] {
        run();
    });
}

void TimerService::stop()
{
    {
        const std::lock_guard guard(m_mutex);
        m_stopped = true;
        m_wake.notify_all();
    }
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

TimerService::SubscriptionId TimerService::once(TimePoint at, Callback callback)
{
    return add(at, Duration::zero(), std::move(callback));
}

TimerService::SubscriptionId TimerService::every(Duration interval, Callback callback)
{
    return add(m_clock.now() + interval, interval, std::move(callback));
}

TimerService::SubscriptionId TimerService::add(TimePoint at, Duration interval, Callback callback)
{
    const std::lock_guard guard(m_mutex);
    const SubscriptionId id = m_nextId++;
    const auto entry = m_queue.emplace(at, Subscription{id, interval, std::move(callback)});
    m_byId.emplace(id, entry);
    if (entry == m_queue.begin()) {
        m_wake.notify_all();
    }
    return id;
}

void TimerService::cancel(SubscriptionId id)
{
    Queue::node_type removed;
    const std::lock_guard guard(m_mutex);
    const auto found = m_byId.find(id);
    if (found == m_byId.end()) {
        return;
    }
    removed = m_queue.extract(found->second);
    m_byId.erase(found);
}

std::size_t TimerService::runDue()
{
    std::vector<Callback> due;
    {
        const std::lock_guard guard(m_mutex);
        const TimePoint now = m_clock.now();
        while (!m_queue.empty() && m_queue.begin()->first <= now) {
            auto node = m_queue.extract(m_queue.begin());
            Subscription &subscription = node.mapped();
            due.push_back(subscription.m_callback);
            if (subscription.m_interval == Duration::zero()) {
                m_byId.erase(subscription.m_id);
                continue;
            }
            node.key() = now + subscription.m_interval;
            const SubscriptionId id = subscription.m_id;
            m_byId[id] = m_queue.insert(std::move(node));
        }
    }
    for (const Callback &callback : due) {
        dispatch(callback);
    }
    return due.size();
}

void TimerService::dispatch(const Callback &callback)
{
    if (m_pool == nullptr) {
        callback();
        return;
    }
    m_pool->post(Lane::Decision, callback);
}

void TimerService::run()
{
    while (true) {
        runDue();
        std::unique_lock lock(m_mutex);
        if (m_stopped) {
            return;
        }
        if (m_queue.empty()) {
            m_wake.wait(lock);
            continue;
        }
        const Duration untilNext = m_queue.begin()->first - m_clock.now();
        if (untilNext > Duration::zero()) {
            m_wake.wait_for(lock, std::min(untilNext, MaxSleep));
        }
    }
}

} // namespace fescuepond
