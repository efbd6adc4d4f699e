// Registers this node at the platform as an object, reads the objects of the other nodes when its own has been written,
// and deletes the objects of dead nodes.

#include "modules/membership/announcer.h"

#include "core/kernel/eventlog.h"
#include "core/kernel/kernel.h"
#include "core/kernel/random.h"
#include "core/pipeline/collections.h"
#include "modules/membership/memberencoding.h"

namespace fescuepond
{

namespace
{

/// How often a node checks its object at the platform. If it was deleted by mistake, it is written again then.
constexpr Duration CheckInterval = std::chrono::minutes(5);
/// At most one stale object is deleted per interval.
constexpr Duration CollectInterval = std::chrono::seconds(10);

std::optional<Member> recordIn(const StoreReply &reply)
{
    return reply.objects().empty() ? std::nullopt : memberFromJson(reply.objects().front().value());
}

} // namespace

Announcer::Announcer(Kernel &kernel, SharedMembers &members, std::function<void()> onListed)
    : m_kernel(kernel)
    , m_members(members)
    , m_platform(kernel.require<ObjectStore>())
    , m_onListed(std::move(onListed))
{
}

void Announcer::start()
{
    m_platform.onRestore([this] {
        handleRestore();
    });
    write(std::nullopt);
    m_kernel.timers().every(CheckInterval, [this] {
        check();
    });
    m_kernel.timers().every(CollectInterval, [this] {
        collectStaleObjects();
    });
}

void Announcer::withdraw()
{
    m_isWithdrawn = true;
    const ExpectedRevision revision = m_table.locked([](const Table &table) {
        return table.m_ownRevision;
    });
    if (revision) {
        m_platform.remove(collection::Nodes, m_kernel.settings().name(), *revision, [](const StoreReply &) {
            // If this fails, another node deletes the object once this node is dead.
        });
    }
}

void Announcer::write(const ExpectedRevision &expected)
{
    if (m_isWithdrawn) {
        return;
    }
    const Member self = m_members.self();
    m_platform.put(collection::Nodes, self.name(), toJson(self), expected, [this](const StoreReply &reply) {
        handleWriteReply(reply);
    });
}

void Announcer::handleWriteReply(const StoreReply &reply)
{
    if (reply.status() == StoreStatus::Ok) {
        setOwnRevision(revisionIn(reply));
        m_failures = 0;
        Event("announced").with("version", reply.objects().front().revision().number());
        handleStored();
        if (m_isWithdrawn) {
            withdraw();
        }
        return;
    }
    if (reply.status() == StoreStatus::Unavailable) {
        // The write may have taken effect; the next check shows whether it did. Others may be readable meanwhile.
        if (!m_hasListedEarly.exchange(true)) {
            listOthers();
        }
        retryLater([this] {
            check();
        });
        return;
    }
    check();
}

void Announcer::check()
{
    if (m_isWithdrawn) {
        return;
    }
    m_platform.get(collection::Nodes, m_kernel.settings().name(), [this](const StoreReply &reply) {
        handleCheckReply(reply);
    });
}

void Announcer::handleCheckReply(const StoreReply &reply)
{
    const auto found = recordIn(reply);
    if (found) {
        m_members.update([&](MemberView view) {
            return mergeRecords(std::move(view), {*found}, m_kernel.clock().now());
        });
    }
    const AnnounceDecision decision = decideAnnouncement(m_members.self(), reply.status(), revisionIn(reply), found);
    switch (decision.action()) {
    case AnnounceAction::None:
        setOwnRevision(decision.expected());
        m_failures = 0;
        handleStored();
        return;
    case AnnounceAction::Write:
        // Nodes that have started while the object was missing didn't find this node.
        m_hasListed = false;
        write(decision.expected());
        return;
    case AnnounceAction::RetryLater:
        retryLater([this] {
            check();
        });
        return;
    case AnnounceAction::Superseded:
        Event("announce_gives_way").with("incarnation", found->incarnation().toString());
        return;
    }
}

void Announcer::handleRestore()
{
    m_table.locked([](Table &table) {
        table.m_handledIncarnations.clear();
    });
    m_kernel.timers().once(m_kernel.clock().now() + restoreCheckDelay(randomWord()), [this] {
        check();
    });
}

void Announcer::setOwnRevision(const ExpectedRevision &revision)
{
    m_table.locked([&](Table &table) {
        table.m_ownRevision = revision;
    });
}

void Announcer::retryLater(const std::function<void()> &action)
{
    const Duration pause = announceRetryDelay(m_failures++, randomWord());
    m_kernel.timers().once(m_kernel.clock().now() + pause, action);
}

void Announcer::handleStored()
{
    if (!m_hasListed.exchange(true)) {
        listOthers();
    }
}

void Announcer::listOthers()
{
    m_platform.list(collection::Nodes, [this](const StoreReply &reply) {
        if (reply.status() != StoreStatus::Ok) {
            retryLater([this] {
                listOthers();
            });
            return;
        }
        Members records;
        for (const StoredObject &object : reply.objects()) {
            const auto member = memberFromJson(object.value());
            if (member) {
                records.push_back(*member);
            }
        }
        m_members.update([&](MemberView view) {
            return mergeRecords(std::move(view), records, m_kernel.clock().now());
        });
        m_onListed();
    });
}

void Announcer::collectStaleObjects()
{
    const Members stale = m_members.read([this](const MemberView &view) {
        return staleObjectsFor(view, m_kernel.clock().now());
    });
    for (const Member &dead : stale) {
        const bool isNew = m_table.locked([&](Table &table) {
            return table.m_handledIncarnations.insert(dead.incarnation()).second;
        });
        if (isNew) {
            collectStaleObject(dead);
            return;
        }
    }
}

void Announcer::collectStaleObject(const Member &dead)
{
    m_platform.get(collection::Nodes, dead.name(), [this, dead](const StoreReply &reply) {
        if (reply.status() == StoreStatus::Unavailable) {
            // Tried again in a later interval.
            m_table.locked([&](Table &table) {
                table.m_handledIncarnations.erase(dead.incarnation());
            });
            return;
        }
        if (reply.status() != StoreStatus::Ok || !isStale(dead, recordIn(reply))) {
            return;
        }
        // Deleting on condition of the revision that was read can't delete the object of a newer incarnation.
        m_platform.remove(
            collection::Nodes, dead.name(), reply.objects().front().revision(), [dead](const StoreReply &removed) {
                Event("stale_object_removed")
                    .with("member", dead.name())
                    .with("done", removed.status() == StoreStatus::Ok);
            });
    });
}

} // namespace fescuepond
