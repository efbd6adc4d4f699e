// The departures of backend servers that a node has acknowledged.

#include "servers/registration/departures.h"

#include <algorithm>

namespace fescuepond
{

namespace
{

bool isOfDeparted(const Departure &departure, const BackendReport &report, TimePoint now)
{
    if (departure.instance() != report.instance()) {
        return false;
    }
    if (departure.startedAtMs() != 0) {
        return report.startedAtMs() <= departure.startedAtMs();
    }
    // A report without a start time may be of either; the departure was acknowledged.
    return report.startedAtMs() <= departure.acknowledgedAtMs() && now - departure.acknowledgedAt() < DepartureMemory;
}

} // namespace

Departures withDeparture(Departures known, Departure departure)
{
    known.push_back(std::move(departure));
    if (known.size() > MaxDepartures) {
        known.erase(known.begin());
    }
    return known;
}

bool hasDeparted(const Departures &known, const BackendReport &report, TimePoint now)
{
    return std::any_of(known.begin(), known.end(), [&](const Departure &departure) {
        return isOfDeparted(departure, report, now);
    });
}

} // namespace fescuepond
