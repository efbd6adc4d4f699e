// The one order in which the locks of shared tables are taken.
//
// A thread that holds a lock may only take locks of a later rank. RankedMutex asserts it on every acquisition.
// docs/ARCHITECTURE.md lists what each table holds.

#pragma once

#include <mutex>

namespace fescuepond
{

/// Ranks of the shared tables' locks, in the order in which they may be taken. Two locks of one rank are never held
/// together.
enum class LockRank {
    Plugins,
    Configuration,
    Registration,
    ParentInference,
    Members,
    KeyRecords,
    Quarantine,
    Attempts,
    Retries,
    PathLimit,
    PathHeadroom,
    Admission,
    CallsInFlight,
    Routing,
    PeerConnections,
    BackendConnections,
    HttpConnections,
    Platform,
    Timers,
    WorkerPool,
    Metrics,
    EventLog,
};

/// A mutex that aborts the program when it is taken out of order.
class RankedMutex
{
public:
    explicit RankedMutex(LockRank rank)
        : m_rank(rank)
    {
    }
    void lock();
    void unlock();

private:
    const LockRank m_rank;
    std::mutex m_mutex;
};

} // namespace fescuepond
