// Registers this node at the platform as an object, reads the objects of the other nodes when its own has been written,
// and deletes the objects of dead nodes. Keeps the departures that this node has acknowledged in its object.

#pragma once

#include "core/pipeline/interfaces.h"
#include "modules/membership/sharedmembers.h"
#include "servers/membership/announcement.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <set>
#include <vector>

namespace fescuepond
{

class Kernel;

class Announcer final : public DepartureStore
{
public:
    /// `onListed` is called once the objects of the other nodes have been read.
    Announcer(Kernel &kernel, SharedMembers &members, std::function<void()> onListed);

    void start();
    /// Deletes this node's object at the platform, unless it holds departures: then its successor replaces it.
    void withdraw();

    void keep(Departures departures, Stored stored) override;
    void onRecovered(Recovered handler) override;

private:
    /// Somebody waits until these departures are stored.
    struct Waiting {
        std::uint64_t m_id;
        Departures m_departures;
        Stored m_stored;
    };

    struct Table {
        NodeObject m_object;
        bool m_isBusy = false; ///< A write or a check of this node's object is in flight.
        bool m_isCheckMissed = false; ///< A check was due meanwhile.
        Recovered m_onRecovered;
        std::vector<Waiting> m_waiting;
        std::uint64_t m_nextWaitingId = 1;
        /// Dead incarnations whose objects this node has deleted, has found replaced or is checking.
        std::set<Incarnation> m_handledIncarnations;
    };

    /// Does nothing while another write or check is in flight: that one goes on with what is left to do.
    void write(const ExpectedRevision &expected);
    void handleWriteReply(const StoreReply &reply, const ExpectedRevision &expected, const Departures &departures);
    /// Reads this node's object, and writes it if it is missing, not this incarnation's or lacks departures. If another
    /// write or check is in flight, it follows later.
    void check();
    void handleCheckReply(const StoreReply &reply);
    /// What `change` makes of the knowledge of this node's object, with no call in flight any longer.
    template<typename Change>
    NodeObject endCall(const Change &change);
    /// Calls those that wait for what is stored now.
    void serveWaiting();
    void giveUpWaiting(std::uint64_t id);
    /// Writes this node's object if it lacks departures.
    void writeMissing();
    void reportRecovered(const Departures &earlier);
    /// False if the store was restored since: what the reply tells of the object may be lost.
    bool isOfLatestEra(const StoreReply &reply) const;
    /// Whether this node has stopped, and leaves nothing in its object that its successor needs.
    bool isGone() const;
    /// This node's object may be lost, and objects of dead nodes may be back.
    void handleRestore();
    void retryLater(const std::function<void()> &action);
    void retryCheckLater();
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
    std::atomic<bool> m_isCheckDue = false; ///< A check after a failure is scheduled.
    std::atomic<bool> m_isWithdrawn = false;
    std::atomic<bool> m_hasListedEarly =
        false; ///< Others were listed although it isn't known that the own object is stored.
    std::atomic<bool> m_hasListed = false; ///< Others were listed after the own object was written last.
    SharedTable<Table> m_table{LockRank::Members};
};

} // namespace fescuepond
