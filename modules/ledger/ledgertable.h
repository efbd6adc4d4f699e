// The homes whose records this node keeps: its own incarnation, and those that handed over to it.
//
// Holds the one table of key records, and the submissions that wait for a running key. Starts a call by giving it to
// the rest of the entry pipeline; the call's end answers all that wait.

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

/// What became of a submission that was brought to this node.
enum class KeySubmission {
    Accepted, ///< Its continuation is called, now or later.
    Closed, ///< Its owner is closed and the key never started; the continuation is not called.
    NotOwner, ///< This node does not keep the owner's records; the continuation is not called.
};

class LedgerTable
{
public:
    LedgerTable(Kernel &kernel, const EntryPipeline &pipeline, const CallsInFlight &calls, Incarnation own);

    const Incarnation &own() const
    {
        return m_own;
    }
    /// A location for a new key, at this node; nothing when the node hands over.
    std::optional<KeyLocation> issueLocation();
    /// The location of a child's key.
    std::optional<KeyLocation> locationOfChild(const std::string &derivedName);
    KeySubmission
    submit(const KeyLocation &location, const CallRequest &call, const std::string &derivedName, const Done &done);

    /// Takes over a owner's records. False when this node hands over itself.
    bool adopt(const LedgerSnapshot &snapshot);
    /// Closes all homes and returns what they hold.
    std::vector<LedgerSnapshot> close();

    /// Whether this node keeps the records of `owner`.
    bool has(const Incarnation &owner) const;
    std::size_t running() const;
    std::size_t recordCount() const;
    std::size_t answerBytes() const;

private:
    struct Waiter {
        int m_retryAllowance; ///< Returned unused: the submission that runs has its own.
        Done m_done;
    };
    struct Entry {
        KeyLedger m_ledger;
        std::map<KeySerial, std::vector<Waiter>> m_waiters; ///< Only of keys that run.
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
    const Incarnation m_own;
    const KeyLimits m_limits;
    SharedTable<Table> m_table{LockRank::KeyRecords};
};

} // namespace fescuepond
