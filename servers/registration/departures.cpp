// The departures of backend servers that a node remembers.

#include "servers/registration/departures.h"

#include <algorithm>

namespace fescuepond
{

namespace
{

bool isOfDeparted(const KnownDeparture &known, const BackendReport &report, TimePoint now)
{
    const Departure &departure = known.departure();
    if (departure.instance() != report.instance()) {
        return false;
    }
    if (departure.startedAtMs() != 0) {
        return report.startedAtMs() <= departure.startedAtMs();
    }
    // A report without a start time may be of either; the departure was acknowledged.
    return report.startedAtMs() <= departure.departedAtMs() && now - known.knownSince() < DepartureMemory;
}

/// Whether both are departures of one start of an instance. Without a start time the later departure covers both.
bool isSameStart(const Departure &a, const Departure &b)
{
    return a.instance() == b.instance() && a.startedAtMs() == b.startedAtMs();
}

void addDeparture(KnownDepartures &known, KnownDeparture added)
{
    const auto same = std::find_if(known.begin(), known.end(), [&](const KnownDeparture &entry) {
        return isSameStart(entry.departure(), added.departure());
    });
    if (same == known.end()) {
        known.push_back(std::move(added));
    } else if (same->departure().departedAtMs() < added.departure().departedAtMs()) {
        *same = std::move(added);
    }
    if (known.size() > MaxDepartures) {
        known.erase(known.begin());
    }
}

/// Departures that no longer hold back any report are dropped.
void removeExpired(KnownDepartures &known, TimePoint now)
{
    std::erase_if(known, [now](const KnownDeparture &entry) {
        return entry.departure().startedAtMs() == 0 && now - entry.knownSince() >= DepartureMemory;
    });
}

} // namespace

KnownDepartures withDeparture(KnownDepartures known, Departure departure, TimePoint now)
{
    removeExpired(known, now);
    addDeparture(known, KnownDeparture().withDeparture(std::move(departure)).withKnownSince(now));
    return known;
}

KnownDepartures withEarlierDepartures(const KnownDepartures &known, const Departures &earlier, TimePoint now)
{
    KnownDepartures result;
    for (const Departure &departure : earlier) {
        addDeparture(result, KnownDeparture().withDeparture(departure).withKnownSince(now));
    }
    for (const KnownDeparture &entry : known) {
        // What this process knows itself has its own time, so that it expires however often the store is read.
        std::erase_if(result, [&](const KnownDeparture &found) {
            return found.departure() == entry.departure();
        });
        addDeparture(result, entry);
    }
    removeExpired(result, now);
    return result;
}

bool hasDeparted(const KnownDepartures &known, const BackendReport &report, TimePoint now)
{
    return std::any_of(known.begin(), known.end(), [&](const KnownDeparture &entry) {
        return isOfDeparted(entry, report, now);
    });
}

Departures departuresIn(const KnownDepartures &known)
{
    Departures departures;
    departures.reserve(known.size());
    for (const KnownDeparture &entry : known) {
        departures.push_back(entry.departure());
    }
    return departures;
}

} // namespace fescuepond
