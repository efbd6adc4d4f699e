// Which calls a node refuses while its own processor is the bottleneck.
//
// Admission and the limits of paths count the slots of backend servers. A node whose processor can't keep up with the
// calls that it takes has free slots, but each call is late, and the work for calls that end too late displaces that
// for the others. The sign of it is how late tasks run that are due: they wait behind everything that the node has
// taken on. Refusing a call costs a small part of running it.
//
// This decision answers overload of a node's processor, whatever its cause.

#pragma once

#include "core/kernel/clock.h"
#include "core/values/declaration.h"
#include "servers/pathlimit/pathshare.h"

#include <cstdint>
#include <map>

namespace fescuepond
{

/// Follows the delay of due tasks. A single late task is no overload: the process may have been paused.
class TaskDelay
{
public:
    /// A task that was due at a certain time has run `delay` later.
    void add(Duration delay, TimePoint now);
    /// The least delay of the latest interval.
    Duration sustained() const
    {
        return m_sustained;
    }

private:
    Duration m_sustained{};
    Duration m_least = Duration::max(); ///< Of the interval that is under way.
    int m_tasks = 0; ///< In the interval that is under way.
    TimePoint m_intervalEnd;
};

class LoadShedder
{
public:
    /// A task that was due at a certain time has run `delay` later.
    void taskRan(Duration delay, TimePoint now);
    /// Whether to accept a call. Of the calls that arrive, a share is accepted, the most important ones: by rank, then
    /// by the hash of the root request, so that all nodes refuse the calls of the same requests.
    bool admits(Rank rank, std::uint64_t rootHash, TimePoint now);
    /// How much work the processor leaves room for, for each unit of the present work: above 0, at most MaxHeadroom.
    double headroom() const;
    /// The share of calls that is accepted.
    double share(TimePoint now) const
    {
        return m_share.at(now);
    }
    /// Suggested time until a refused call is sent again.
    Duration retryAfter(TimePoint now) const
    {
        return m_share.retryAfter(now);
    }

private:
    TaskDelay m_delay;
    PathShare m_share;
    std::map<Rank, double> m_arrivals; ///< Of the recent past, by rank.
    double m_arrivalCount = 0; ///< Sum of m_arrivals.
};

} // namespace fescuepond
