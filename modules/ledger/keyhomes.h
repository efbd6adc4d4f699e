// The homes whose records this node keeps: its own incarnation, and those that handed over to it.
//
// Holds the one table of key records, and the submissions that wait for a running key. Starts a call by giving it to
// the rest of the entry pipeline; the call's end answers all that wait.

#pragma once

#include "core/kernel/kernel.h"
#include "core/kernel/sharedtable.h"
#include "core/pipeline/callpipeline.h"
#include "core/pipeline/callsinflight.h"
#include "servers/ledger/homeledger.h"

#include <map>
#include <vector>

namespace fescuepond
{

/// What became of a submission that was brought to this node.
enum class KeySubmission {
    Taken, ///< Its continuation is called, now or later.
    Closed, ///< Its home is closed and the key never started; the continuation is not called.
    NotHome, ///< This node does not keep the home's records; the continuation is not called.
};

class KeyHomes
{
public:
    KeyHomes(Kernel &kernel, const EntryPipeline &pipeline, const CallsInFlight &calls, Incarnation own);

    const Incarnation &own() const
    {
        return m_own;
    }
    /// A place for a new key, at this node; nothing when the node hands over.
    std::optional<KeyPlace> issue();
    /// The place of a child's key.
    std::optional<KeyPlace> placeOfChild(const std::string &derivedName);
    KeySubmission
    submit(const KeyPlace &place, const CallRequest &call, const std::string &derivedName, const Done &done);

    /// Takes over a home's records. False when this node hands over itself.
    bool adopt(const HomeSnapshot &snapshot);
    /// Closes all homes and returns what they hold.
    std::vector<HomeSnapshot> close();

    /// Whether this node keeps the records of `home`.
    bool has(const Incarnation &home) const;
    std::size_t running() const;
    std::size_t recordCount() const;
    std::size_t answerBytes() const;

private:
    struct Waiter {
        int m_retryAllowance; ///< Returned unused: the submission that runs has its own.
        Done m_done;
    };
    struct Home {
        HomeLedger m_ledger;
        std::map<KeySerial, std::vector<Waiter>> m_waiters; ///< Only of keys that run.
    };
    struct Table {
        std::map<Incarnation, Home> m_homes;
        bool m_isClosed = false;
    };

    IsInFlight inFlightCheck() const;
    void start(const KeyPlace &place, const CallRequest &call, const Done &done);
    void end(const KeyPlace &place, const CallOutcome &outcome, const Done &done);
    void expire();

    Kernel &m_kernel;
    const EntryPipeline &m_pipeline;
    const CallsInFlight &m_calls;
    const Incarnation m_own;
    const KeyLimits m_limits;
    SharedTable<Table> m_table{LockRank::KeyRecords};
};

} // namespace fescuepond
