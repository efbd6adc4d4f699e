// The hand-over of key records to a successor, both sides of it.
//
// The leaving home closes its ledgers, sends the records in parts, then a commit. The successor starts nothing from
// them before the commit, and the commit is sent to one successor only: if its answer is lost, no other one may be
// tried, since both could then start one key. After it the move is announced to all members, without the platform.

#pragma once

#include "core/kernel/kernel.h"
#include "core/kernel/sharedtable.h"
#include "core/pipeline/interfaces.h"
#include "modules/ledger/keyforwarder.h"
#include "modules/ledger/keyhomes.h"

#include <atomic>
#include <map>
#include <memory>
#include <vector>

namespace fescuepond
{

class KeyHandover
{
public:
    KeyHandover(Kernel &kernel,
                PeerMessages &messages,
                const Membership &membership,
                const CallsInFlight &calls,
                KeyHomes &homes,
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
    /// One home on its way to a successor.
    struct Transfer {
        HomeSnapshot m_snapshot;
        Members m_successors; ///< Not tried yet, the best last.
        std::string m_address; ///< Of the successor that is tried.
        int m_commitsLeft;
    };
    using TransferPointer = std::shared_ptr<Transfer>;
    using Staged = std::map<Incarnation, KeyRecords>;

    void closeWhenIdle();
    void nextHome();
    void trySuccessor(const TransferPointer &transfer);
    void sendPart(const TransferPointer &transfer, std::size_t first);
    void commit(const TransferPointer &transfer);
    void announce(const Incarnation &home, const std::string &address);
    void announced();

    bool stage(const Incarnation &home, const KeyRecords &records);
    bool take(const HomeSnapshot &head, std::size_t recordCount);

    Kernel &m_kernel;
    PeerMessages &m_messages;
    const Membership &m_membership;
    const CallsInFlight &m_calls;
    KeyHomes &m_homes;
    KeyForwarder &m_forwarder;

    TimePoint m_closeAt; ///< Set by begin(), before any timer runs.
    std::vector<HomeSnapshot> m_pending; ///< Homes to hand over; used by one continuation at a time.
    std::atomic<std::size_t> m_unanswered = 0; ///< Announcements on their way.
    std::atomic<bool> m_isFinished = false;
    SharedTable<Staged> m_staged{LockRank::KeyRecords}; ///< Records of homes that hand over to this node.
};

} // namespace fescuepond
