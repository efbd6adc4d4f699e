// What this process knows of its node's object at the platform.

#include "servers/membership/nodeobject.h"

#include <algorithm>
#include <utility>

namespace fescuepond
{

bool NodeObject::holds(const Departures &departures) const
{
    return m_storedDepartures && std::all_of(departures.begin(), departures.end(), [&](const Departure &departure) {
               return std::find(m_storedDepartures->begin(), m_storedDepartures->end(), departure)
                   != m_storedDepartures->end();
           });
}

NodeObject afterKeep(const NodeObject &known, const Departures &departures)
{
    Departures all = known.departures();
    for (const Departure &departure : departures) {
        if (std::find(all.begin(), all.end(), departure) == all.end()) {
            all.push_back(departure);
        }
    }
    if (all.size() > MaxDepartures) {
        all.erase(all.begin(), all.end() - static_cast<Departures::difference_type>(MaxDepartures));
    }
    return known.withDepartures(std::move(all));
}

NodeObject afterWrite(const NodeObject &known, const ExpectedRevision &revision, const Departures &departures)
{
    return known.withRevision(revision).withStoredDepartures(departures).withHasRecovered(true);
}

NodeObject
afterRead(const NodeObject &known, const ExpectedRevision &revision, const Departures &departures, bool isOwn)
{
    return known.withRevision(revision)
        .withStoredDepartures(isOwn ? std::optional(departures) : std::nullopt)
        .withHasRecovered(true);
}

NodeObject afterMissing(const NodeObject &known)
{
    return known.withRevision(std::nullopt).withStoredDepartures(std::nullopt).withHasRecovered(true);
}

NodeObject afterRestore(const NodeObject &known)
{
    return known.withStoredDepartures(std::nullopt);
}

} // namespace fescuepond
