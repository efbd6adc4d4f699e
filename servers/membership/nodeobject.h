// What this process knows of its node's object at the platform, which holds the node's record and the departures that
// the node has acknowledged.
//
// The departures outlive the process there: it acknowledges one only once the object holds it, and its successor learns
// them before it replaces the object. A process whose create succeeded has no predecessor with departures, since a node
// that stops leaves its object in place if it holds any.

#pragma once

#include "core/pipeline/objectstore.h"
#include "core/value.h"
#include "core/values/departure.h"

#include <compare>
#include <optional>

namespace fescuepond
{

class NodeObject
{
    FESCUEPOND_FIELD(ExpectedRevision, revision, withRevision); ///< The last known one.
    FESCUEPOND_FIELD(Departures, departures, withDepartures); ///< That the object has to hold.
    /// That it held when this process wrote or read it last; nothing if it isn't known to be this process's.
    FESCUEPOND_FIELD(std::optional<Departures>, storedDepartures, withStoredDepartures);
    /// The departures that earlier processes of this node acknowledged are known. Stays set.
    FESCUEPOND_FIELD(bool, hasRecovered, withHasRecovered);

public:
    /// Whether the object holds what it has to.
    bool isCurrent() const
    {
        return m_storedDepartures == m_departures;
    }
    /// Whether the object holds all of `departures`, so that they may be acknowledged.
    bool holds(const Departures &departures) const;
    friend auto operator<=>(const NodeObject &, const NodeObject &) = default;
};

/// `departures` have to be stored, too. Lists of departures may overtake each other, so an older one takes nothing out
/// of a newer one; if there are over MaxDepartures, the oldest give way.
NodeObject afterKeep(const NodeObject &known, const Departures &departures);
/// The object was written with `departures`: created, or replaced at a revision that was read before.
NodeObject afterWrite(const NodeObject &known, const ExpectedRevision &revision, const Departures &departures);
/// The object was read and holds `departures`. `isOwn`: this process has written it.
NodeObject
afterRead(const NodeObject &known, const ExpectedRevision &revision, const Departures &departures, bool isOwn);
/// There is no object.
NodeObject afterMissing(const NodeObject &known);
/// The store was restored from a copy, which may hold an earlier object.
NodeObject afterRestore(const NodeObject &known);

} // namespace fescuepond
