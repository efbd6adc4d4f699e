// Processor time and memory of a running process.

#pragma once

#include <sys/types.h>

#include <cstddef>

namespace fescuepond::benchmark
{

struct ProcessUsage {
    double processorSeconds = 0; ///< User and system time of all threads since the start.
    double residentMegabytes = 0;
    int threads = 0;
};

/// What the system says of the process `id`; zeroes when it has ended.
ProcessUsage usageOf(pid_t id);

} // namespace fescuepond::benchmark
