// What a node's process costs its VM, as the operating system counts it.

#pragma once

#include "core/value.h"

#include <compare>
#include <cstdint>

namespace fescuepond
{

class ResourceUsage
{
    FESCUEPOND_FIELD(double, processorSeconds, withProcessorSeconds); ///< User and system time since the start.
    FESCUEPOND_FIELD(std::uint64_t, residentBytes, withResidentBytes); ///< Now.

public:
    friend auto operator<=>(const ResourceUsage &, const ResourceUsage &) = default;
};

/// Measures this process.
ResourceUsage measureResourceUsage();

} // namespace fescuepond
