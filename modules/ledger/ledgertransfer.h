// Transfer of a leaving node's ledgers to a successor; both the sending and the receiving side.
//
// The leaving node closes its ledgers, sends the records in batches, then a commit. The successor uses the records only
// after the commit. Once a commit may have taken effect, no other successor is tried: if its reply is lost, two
// successors could each start the same key. Afterwards the new location is announced to all members. The platform is
// not needed.

#pragma once

#include "core/kernel/kernel.h"
#include "core/kernel/sharedtable.h"
#include "core/pipeline/interfaces.h"
#include "modules/ledger/keyforwarder.h"
#include "modules/ledger/ledgertable.h"

#include <atomic>
#include <map>
#include <memory>
#include <vector>

namespace fescuepond
{

class LedgerTransfer
{
public:
    LedgerTransfer(Kernel &kernel,
                   PeerMessages &messages,
                   const Membership &membership,
                   const CallsInFlight &calls,
                   LedgerTable &ledgers,
                   KeyForwarder &forwarder);

    /// Waits until no call is running or most of the drain time has passed, then transfers all ledgers.
    void begin();
    bool isFinished() const
    {
        return m_isFinished;
    }
    /// Handles a message of the topic KeyRecords and returns the reply.
    std::string handle(const std::string &request);

private:
    /// One ledger that is being transferred.
    struct Transfer {
        LedgerSnapshot m_snapshot;
        Members m_successors; ///< Candidates not tried yet, the preferred one last.
        std::string m_address; ///< Of the successor being tried.
        int m_commitsLeft;
    };
    using TransferPointer = std::shared_ptr<Transfer>;
    using Staged = std::map<Incarnation, KeyRecords>;

    void closeWhenIdle();
    void transferNext();
    void trySuccessor(const TransferPointer &transfer);
    void sendBatch(const TransferPointer &transfer, std::size_t first);
    void commit(const TransferPointer &transfer);
    void announce(const Incarnation &owner, const std::string &address);
    void handleAnnounceReply();

    bool stage(const Incarnation &owner, const KeyRecords &records);
    bool commitStaged(const LedgerSnapshot &head, std::size_t recordCount);

    Kernel &m_kernel;
    PeerMessages &m_messages;
    const Membership &m_membership;
    const CallsInFlight &m_calls;
    LedgerTable &m_ledgers;
    KeyForwarder &m_forwarder;

    TimePoint m_closeAt; ///< When the ledgers are closed although calls still run. Set by begin(), before any timer.
    std::vector<LedgerSnapshot> m_pending; ///< Ledgers still to transfer; used by one continuation at a time.
    std::atomic<std::size_t> m_pendingAnnouncements = 0; ///< Announcements without a reply.
    std::atomic<bool> m_isFinished = false;
    SharedTable<Staged> m_staged{LockRank::KeyRecords}; ///< Records received from other nodes and not committed yet.
};

} // namespace fescuepond
