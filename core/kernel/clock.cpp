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

} // namespace fescuepond
