// The departures of backend servers that a node has acknowledged. An acknowledged departure binds the node whatever it
// knew of the instance, and whatever late report of that instance arrives afterwards.

#pragma once

#include "core/kernel/clock.h"
#include "core/value.h"
#include "core/values/backendreport.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace fescuepond
{

class Departure
{
    FESCUEPOND_FIELD(std::string, instance, withInstance);
    /// Start time of the instance; 0: not known, since this process had no report of it.
    FESCUEPOND_FIELD(std::uint64_t, startedAtMs, withStartedAtMs);
    FESCUEPOND_FIELD(TimePoint, acknowledgedAt, withAcknowledgedAt);
    /// The same moment by the wall clock. An instance that starts again under the same name starts later.
    FESCUEPOND_FIELD(std::uint64_t, acknowledgedAtMs, withAcknowledgedAtMs);

public:
    friend auto operator<=>(const Departure &, const Departure &) = default;
};

/// In the order of their acknowledgement; MaxDepartures at most, the latest ones.
using Departures = std::vector<Departure>;

/// Departures that a node remembers. One backend server at a time runs on its VM.
constexpr std::size_t MaxDepartures = 16;
/// For how long a departure of an instance without a known start time holds back its reports. Longer than a report may
/// be late and than an instance still runs; a wall clock that was set back can't lock out a later start for longer.
constexpr Duration DepartureMemory = std::chrono::seconds(60);

Departures withDeparture(Departures known, Departure departure);

/// Whether a report is of an instance whose departure was acknowledged, and not of a later start under its name.
bool hasDeparted(const Departures &known, const BackendReport &report, TimePoint now);

} // namespace fescuepond
