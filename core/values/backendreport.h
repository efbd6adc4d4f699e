// Status reports of the backend server on this VM to the node beside it.

#pragma once

#include "core/kernel/clock.h"
#include "core/value.h"

#include <compare>
#include <cstdint>
#include <string>

namespace fescuepond
{

enum class BackendState {
    Unknown, ///< No report has been received yet.
    Ready,
    Draining, ///< It finishes its running calls and accepts new ones only for a short time.
    Silent, ///< It was ready, but its reports have stopped for too long.
};

const char *toString(BackendState state);

/// One report. Reports of one instance (one start of the backend server) are ordered by their sequence number,
/// instances by their start time.
class BackendReport
{
    FESCUEPOND_FIELD(std::string, instance, withInstance);
    FESCUEPOND_FIELD(std::uint64_t, startedAtMs, withStartedAtMs); ///< Wall-clock time of the instance's start.
    FESCUEPOND_FIELD(std::uint64_t, sequence, withSequence);
    FESCUEPOND_FIELD(std::string, service, withService);
    FESCUEPOND_FIELD(BackendState, state, withState); ///< Ready or Draining.
    FESCUEPOND_FIELD(std::uint32_t, slots, withSlots);
    /// Time until it reaches its normal speed after its start.
    FESCUEPOND_FIELD(Duration, remainingWarmUp, withRemainingWarmUp);

public:
    friend auto operator<=>(const BackendReport &, const BackendReport &) = default;
};

} // namespace fescuepond
