// The order in which the locks of shared tables are acquired.
//
// To rule out deadlocks, a thread that holds a lock may only acquire locks of a later rank. RankedMutex checks it on
// every acquisition. docs/ARCHITECTURE.md lists the content of each table.

#pragma once

#include <condition_variable>
#include <mutex>

namespace fescuepond
{

/// Ranks of the shared tables' locks, in the order in which they may be acquired. A thread never holds two locks of the
/// same rank.
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
    PathCompletion,
    PathLimit,
    PathHeadroom,
    ProcessorLoad,
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

/// A mutex that aborts the process if it is acquired out of order.
class RankedMutex
{
public:
    explicit RankedMutex(LockRank rank)
        : m_rank(rank)
    {
    }
    void lock();
    void unlock();
    /// Waits for `wake` until `isDone`, with the mutex released meanwhile; the calling thread must hold it. Costs fewer
    /// system calls than std::condition_variable_any, which adds a mutex of its own.
    template<typename Predicate>
    void wait(std::condition_variable &wake, Predicate isDone)
    {
        std::unique_lock lock(m_mutex, std::adopt_lock);
        while (!isDone()) {
            beforeWait();
            wake.wait(lock);
            afterWait();
        }
        lock.release();
    }

private:
    void beforeWait() const;
    void afterWait() const;

    const LockRank m_rank;
    std::mutex m_mutex;
};

} // namespace fescuepond
