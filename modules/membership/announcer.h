// Registers this node at the platform as an object, reads the objects of the other nodes when its own has been written,
// and deletes the objects of dead nodes.

#pragma once

#include "core/pipeline/interfaces.h"
#include "modules/membership/sharedmembers.h"
#include "servers/membership/announcement.h"

#include <atomic>
#include <functional>
#include <set>

namespace fescuepond
{

class Kernel;

class Announcer
{
public:
    /// `onListed` is called once the objects of the other nodes have been read.
    Announcer(Kernel &kernel, SharedMembers &members, std::function<void()> onListed);

    void start();
    /// Deletes this node's object at the platform.
    void withdraw();

private:
    struct Table {
        ExpectedRevision m_ownRevision; ///< Last known one of this node's object.
        /// Dead incarnations whose objects this node has deleted, has found replaced or is checking.
        std::set<Incarnation> m_handledIncarnations;
    };

    void write(const ExpectedRevision &expected);
    void handleWriteReply(const StoreReply &reply);
    /// Reads this node's object and writes it if it is missing or not this incarnation's.
    void check();
    void handleCheckReply(const StoreReply &reply);
    /// This node's object may be lost, and objects of dead nodes may be back.
    void handleRestore();
    void setOwnRevision(const ExpectedRevision &revision);
    void retryLater(const std::function<void()> &action);
    /// This node's object is stored: every node that lists from now on finds it.
    void handleStored();
    /// Reads the other nodes' objects. Once this node's own is stored, of two nodes that start together at least one
    /// finds the other.
    void listOthers();
    void collectStaleObjects();
    void collectStaleObject(const Member &dead);

    Kernel &m_kernel;
    SharedMembers &m_members;
    ObjectStore &m_platform;
    const std::function<void()> m_onListed;
    std::atomic<int> m_failures = 0; ///< Consecutive calls that the platform did not answer.
    std::atomic<bool> m_isWithdrawn = false;
    std::atomic<bool> m_hasListedEarly =
        false; ///< Others were listed although it isn't known that the own object is stored.
    std::atomic<bool> m_hasListed = false; ///< Others were listed after the own object was written last.
    SharedTable<Table> m_table{LockRank::Members};
};

} // namespace fescuepond
