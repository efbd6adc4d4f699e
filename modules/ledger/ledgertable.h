// The ledgers held by this node: that of its own incarnation, and those that other nodes transferred to it.
//
// Also holds the submissions that wait for a running key. A call is started by passing it to the later stages of the
// entry pipeline; its outcome answers all submissions that wait for the key.

#pragma once

#include "core/kernel/kernel.h"
#include "core/kernel/sharedtable.h"
#include "core/pipeline/callpipeline.h"
#include "core/pipeline/callsinflight.h"
#include "servers/ledger/keyledger.h"

#include <map>
#include <vector>

namespace fescuepond
{

/// Result of submitting a call to this node's ledgers.
enum class SubmissionResult {
    Accepted, ///< The continuation is called, now or later.
    Closed, ///< The ledger is closed and the key was never started; the continuation is not called.
    NotOwner, ///< This node does not hold the owner's ledger; the continuation is not called.
};

class LedgerTable
{
public:
    LedgerTable(Kernel &kernel, const EntryPipeline &pipeline, const CallsInFlight &calls, Incarnation ownIncarnation);

    const Incarnation &ownIncarnation() const
    {
        return m_ownIncarnation;
    }
    /// A location for a new key owned by this node; nothing once the ledgers are closed.
    std::optional<KeyLocation> issueLocation();
    /// The location of a child call's key.
    std::optional<KeyLocation> locationOfChild(const std::string &derivedName);
    SubmissionResult
    submit(const KeyLocation &location, const CallRequest &call, const std::string &derivedName, const Done &done);

    /// Adds a ledger transferred from another node. Returns false if this node has closed its own ledgers.
    bool adopt(const LedgerSnapshot &snapshot);
    /// Closes all ledgers and returns their snapshots.
    std::vector<LedgerSnapshot> close();

    /// Whether this node holds the ledger of `owner`.
    bool has(const Incarnation &owner) const;
    std::size_t running() const;
    std::size_t recordCount() const;
    std::size_t answerBytes() const;

private:
    struct Waiter {
        int m_retryAllowance; ///< Refunded in full: the running submission uses its own.
        Done m_done;
    };
    struct Entry {
        KeyLedger m_ledger;
        std::map<KeySerial, std::vector<Waiter>> m_waiters; ///< Only of running keys.
    };
    struct Table {
        std::map<Incarnation, Entry> m_ledgers;
        bool m_isClosed = false;
    };

    IsInFlight inFlightCheck() const;
    void start(const KeyLocation &location, const CallRequest &call, const Done &done);
    void finish(const KeyLocation &location, const CallOutcome &outcome, const Done &done);
    void expire();

    Kernel &m_kernel;
    const EntryPipeline &m_pipeline;
    const CallsInFlight &m_calls;
    const Incarnation m_ownIncarnation;
    const LedgerLimits m_limits;
    SharedTable<Table> m_table{LockRank::KeyRecords};
};

} // namespace fescuepond
