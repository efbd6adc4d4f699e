// CPU time and memory of the node process, as the operating system reports them.

#include "modules/operator/resourceusage.h"

#include <sys/resource.h>
#include <unistd.h>

#include <fstream>

namespace fescuepond
{

namespace
{

constexpr double MicrosecondsPerSecond = 1e6;

double seconds(const timeval &time)
{
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / MicrosecondsPerSecond;
}

} // namespace

ResourceUsage measureResourceUsage()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    std::ifstream statm("/proc/self/statm");
    std::uint64_t totalPages = 0;
    std::uint64_t residentPages = 0;
    statm >> totalPages >> residentPages;
    return ResourceUsage()
        .withProcessorSeconds(seconds(usage.ru_utime) + seconds(usage.ru_stime))
        .withResidentBytes(residentPages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE)));
}

} // namespace fescuepond
