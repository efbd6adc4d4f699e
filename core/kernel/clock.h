// Clocks. Parts never read the system's clock themselves: they are given one, so that tests run in virtual time.

#pragma once

#include <atomic>
#include <chrono>

namespace fescuepond
{

using Duration = std::chrono::nanoseconds;
/// A point of monotonic time of this process. It has no meaning in another process.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

class Clock
{
public:
    virtual ~Clock() = default;
    virtual TimePoint now() const = 0;
};

class SteadyClock final : public Clock
{
public:
    TimePoint now() const override
    {
        return std::chrono::steady_clock::now();
    }
};

/// A clock that stands still until it is advanced. Starts one hour after the epoch, so that subtracting is safe.
class ManualClock final : public Clock
{
public:
    TimePoint now() const override
    {
        return TimePoint(Duration(m_ticks.load()));
    }
    void advance(Duration by)
    {
        m_ticks += by.count();
    }

private:
    std::atomic<Duration::rep> m_ticks = Duration(std::chrono::hours(1)).count();
};

} // namespace fescuepond
