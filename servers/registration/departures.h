// The departures of backend servers that a node remembers. An acknowledged departure binds the node whatever it knew of
// the instance, and whatever late report of that instance arrives afterwards.

#pragma once

#include "core/kernel/clock.h"
#include "core/value.h"
#include "core/values/backendreport.h"
#include "core/values/departure.h"

#include <compare>
#include <vector>

namespace fescuepond
{

class KnownDeparture
{
    FESCUEPOND_FIELD(Departure, departure, withDeparture);
    FESCUEPOND_FIELD(TimePoint, knownSince, withKnownSince); ///< When this process learned of it.

public:
    friend auto operator<=>(const KnownDeparture &, const KnownDeparture &) = default;
};

/// MaxDepartures at most, the latest ones; no two of the same start of an instance.
using KnownDepartures = std::vector<KnownDeparture>;

/// For how long a departure of an instance without a known start time holds back its reports. Longer than a report may
/// be late and than an instance still runs; a wall clock that was set back can't lock out a later start for longer.
constexpr Duration DepartureMemory = std::chrono::seconds(60);

/// Adds a departure that begins now.
KnownDepartures withDeparture(KnownDepartures known, Departure departure, TimePoint now);
/// Adds departures from before those that are known.
KnownDepartures withEarlierDepartures(const KnownDepartures &known, const Departures &earlier, TimePoint now);

/// Whether a report is of an instance that has departed, and not of a later start under its name.
bool hasDeparted(const KnownDepartures &known, const BackendReport &report, TimePoint now);

/// What has to be stored for later processes of this node.
Departures departuresIn(const KnownDepartures &known);

} // namespace fescuepond
