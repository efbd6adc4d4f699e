// Keeps this node's object at the platform, reads those of the others once, and removes those of dead members.

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
    /// `listed` is called once the objects of the others have been read.
    Announcer(Kernel &kernel, SharedMembers &members, std::function<void()> onListed);

    void start();
    /// Removes the own object.
    void withdraw();

private:
    void write(ObjectVersion expected);
    void handleWriteReply(const StoreReply &reply);
    /// Reads the own object and writes it where it is missing or another's.
    void check();
    void handleCheckReply(const StoreReply &reply);
    void retryLater(const std::function<void()> &action);
    void listOthers();
    void collectStaleObjects();
    void collectStaleObject(const Member &dead);

    Kernel &m_kernel;
    SharedMembers &m_members;
    ObjectStore &m_platform;
    const std::function<void()> m_onListed;
    std::atomic<ObjectVersion> m_ownVersion = 0; ///< Of the own object, as last seen; 0: not known.
    std::atomic<int> m_failures = 0; ///< Calls that the platform did not answer, in a row.
    std::atomic<bool> m_isWithdrawn = false;
    SharedTable<std::set<Incarnation>> m_handledIncarnations{
        LockRank::Members}; ///< Lives whose objects were dealt with.
};

} // namespace fescuepond
