// What a backend server says of itself to the node beside it.

#pragma once

#include "core/kernel/clock.h"
#include "core/value.h"

#include <compare>
#include <cstdint>
#include <string>

namespace fescuepond
{

enum class BackendState {
    Unknown, ///< It has said nothing yet.
    Ready,
    Draining, ///< It goes on serving what it has, and takes new work only for a short time.
    Silent, ///< It was ready and has said nothing for long.
};

const char *toString(BackendState state);

/// One report. Reports of one boot are ordered by their sequence, boots by their start.
class BackendReport
{
    FESCUEPOND_FIELD(std::string, instance, withInstance);
    FESCUEPOND_FIELD(std::uint64_t, startedAtMs, withStartedAtMs); ///< Wall clock, when the boot began.
    FESCUEPOND_FIELD(std::uint64_t, sequence, withSequence);
    FESCUEPOND_FIELD(std::string, service, withService);
    FESCUEPOND_FIELD(BackendState, state, withState); ///< Ready or Draining.
    FESCUEPOND_FIELD(std::uint32_t, slots, withSlots);
    FESCUEPOND_FIELD(Duration, remainingWarmUp, withRemainingWarmUp); ///< How much longer it is slow after its start.

public:
    friend auto operator<=>(const BackendReport &, const BackendReport &) = default;
};

} // namespace fescuepond
