// Processor time, memory and thread count of a running process.

#pragma once

#include <sys/types.h>

#include <cstddef>

namespace fescuepond::benchmark
{

struct ProcessUsage {
    double processorSeconds = 0; ///< User and system time of all threads since the process started.
    double residentMegabytes = 0;
    int threads = 0;
};

/// User and system time, in seconds, of all threads of the process `id` since it started, with the resolution of the
/// scheduler's clock; 0 if there is no such process.
double processorSecondsOf(pid_t id);

/// Usage of the process `id`; all 0 if there is no such process.
ProcessUsage usageOf(pid_t id);

} // namespace fescuepond::benchmark
