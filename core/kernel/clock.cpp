// The clock of a running node.

#include "core/kernel/clock.h"

#include <ctime>

namespace fescuepond
{

TimePoint SteadyClock::now() const
{
    timespec time{};
    // Can't fail: the kernel has had this clock since Linux 2.6.39.
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::seconds(time.tv_sec) + Duration(time.tv_nsec));
}

std::uint64_t wallClockMs()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

} // namespace fescuepond
