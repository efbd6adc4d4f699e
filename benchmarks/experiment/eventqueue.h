// Virtual time: events that run in the order of the times for which they are scheduled.

#pragma once

#include "core/kernel/clock.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace fescuepond::experiment
{

/// Virtual time starts one hour after the epoch of TimePoint.
class EventQueue
{
public:
    using Event = std::function<void()>;

    void scheduleAt(TimePoint time, Event event)
    {
        m_events.push({time, m_nextNumber++, std::move(event)});
    }
    void scheduleAfter(double seconds, Event event)
    {
        scheduleAt(m_now + toDuration(seconds), std::move(event));
    }
    /// Runs all events that are due by `end`, and those that they schedule.
    void runUntil(TimePoint end)
    {
        while (!m_events.empty() && m_events.top().m_time <= end) {
            Entry entry = m_events.top();
            m_events.pop();
            m_now = entry.m_time;
            entry.m_event();
        }
        m_now = end;
    }
    TimePoint now() const
    {
        return m_now;
    }
    double nowSeconds() const
    {
        return std::chrono::duration<double>(m_now - startTime()).count();
    }
    static TimePoint startTime()
    {
        return TimePoint(std::chrono::hours(1));
    }
    static Duration toDuration(double seconds)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }

private:
    struct Entry {
        TimePoint m_time;
        std::uint64_t m_number;
        Event m_event;

        bool operator<(const Entry &other) const
        {
            return std::pair(m_time, m_number) > std::pair(other.m_time, other.m_number);
        }
    };

    std::priority_queue<Entry> m_events;
    std::uint64_t m_nextNumber = 0; ///< Events at the same time run in the order in which they were scheduled.
    TimePoint m_now = startTime();
};

} // namespace fescuepond::experiment
