// Clocks. Components never read the system clock themselves: they are given a Clock, so that tests can run in virtual
// time.

#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>

namespace fescuepond
{

using Duration = std::chrono::nanoseconds;
/// A monotonic time of this process. It means nothing to another process.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

class Clock
{
public:
    virtual ~Clock() = default;
    virtual TimePoint now() const = 0;
};

/// Also counts the time during which the machine is suspended, which std::chrono::steady_clock doesn't.
class SteadyClock final : public Clock
{
public:
    TimePoint now() const override;
};

/// The time of day in milliseconds since the Unix epoch. It may jump, and differs between VMs.
std::uint64_t wallClockMs();

/// A clock for tests, which changes only when it is advanced. It starts one hour after the epoch, so that subtracting a
/// duration doesn't give a time before the epoch.
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
