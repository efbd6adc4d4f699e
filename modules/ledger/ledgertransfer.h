// The hand-over of key records to a successor, both sides of it.
//
// The leaving owner closes its ledgers, sends the records in parts, then a commit. The successor starts nothing from
// them before the commit, and the commit is sent to one successor only: if its answer is lost, no other one may be
// tried, since both could then start one key. After it the move is announced to all members, without the platform.

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
                   LedgerTable &homes,
                   KeyForwarder &forwarder);

    /// Waits until nothing runs any more, or most of the drain time is over, then hands over.
    void begin();
    bool isFinished() const
    {
        return m_isFinished;
    }
    /// Answers a message of the topic KeyRecords.
    std::string handle(const std::string &request);

private:
    /// One owner on its way to a successor.
    struct Transfer {
        LedgerSnapshot m_snapshot;
        Members m_successors; ///< Not tried yet, the best last.
        std::string m_address; ///< Of the successor that is tried.
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
    void announcementAnswered();

    bool stage(const Incarnation &owner, const KeyRecords &records);
    bool commitStaged(const LedgerSnapshot &head, std::size_t recordCount);

    Kernel &m_kernel;
    PeerMessages &m_messages;
    const Membership &m_membership;
    const CallsInFlight &m_calls;
    LedgerTable &m_ledgers;
    KeyForwarder &m_forwarder;

    TimePoint m_closeAt; ///< Set by begin(), before any timer runs.
    std::vector<LedgerSnapshot> m_pending; ///< Homes to hand over; used by one continuation at a time.
    std::atomic<std::size_t> m_pendingAnnouncements = 0; ///< Announcements on their way.
    std::atomic<bool> m_isFinished = false;
    SharedTable<Staged> m_staged{LockRank::KeyRecords}; ///< Records of homes that hand over to this node.
};

} // namespace fescuepond
