// Departures of backend servers: an instance has told the node beside it that it is about to stop, and the node has
// acknowledged that. From then on no process of that node may send calls to the instance.

#pragma once

#include "core/value.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace fescuepond
{

class Departure
{
    FESCUEPOND_FIELD(std::string, instance, withInstance);
    /// Start time of the instance, since a later start may have its name; 0: not known.
    FESCUEPOND_FIELD(std::uint64_t, startedAtMs, withStartedAtMs);
    /// Wall-clock time of the departure if the start time is not known; 0 otherwise. An instance that starts again
    /// under the same name starts later.
    FESCUEPOND_FIELD(std::uint64_t, departedAtMs, withDepartedAtMs);

public:
    friend auto operator<=>(const Departure &, const Departure &) = default;
};

/// The oldest one first.
using Departures = std::vector<Departure>;

/// Departures that a node remembers. One backend server at a time runs on its VM.
constexpr std::size_t MaxDepartures = 16;

} // namespace fescuepond
