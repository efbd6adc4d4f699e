// CPU time and memory of the node process, as the operating system reports them.

#pragma once

#include "core/value.h"

#include <compare>
#include <cstdint>

namespace fescuepond
{

class ResourceUsage
{
    FESCUEPOND_FIELD(double, processorSeconds, withProcessorSeconds); ///< User plus system time since the start.
    FESCUEPOND_FIELD(std::uint64_t, residentBytes, withResidentBytes); ///< At the time of the measurement.

public:
    friend auto operator<=>(const ResourceUsage &, const ResourceUsage &) = default;
};

/// Measures the calling process.
ResourceUsage measureResourceUsage();

} // namespace fescuepond
