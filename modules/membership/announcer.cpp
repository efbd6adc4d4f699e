// Registers this node at the platform as an object, reads the objects of the other nodes when its own has been written,
// and deletes the objects of dead nodes. Keeps the departures that this node has acknowledged in its object.

#include "modules/membership/announcer.h"

#include "core/kernel/eventlog.h"
#include "core/kernel/kernel.h"
#include "core/kernel/random.h"
#include "core/pipeline/collections.h"
#include "modules/membership/memberencoding.h"
#include "servers/membership/memberrecord.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

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

Departures departuresIn(const StoreReply &reply)
{
    return reply.objects().empty() ? Departures() : departuresFromJson(reply.objects().front().value());
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
    const NodeObject object = m_table.locked([](const Table &table) {
        return table.m_object;
    });
    if (!object.departures().empty()) {
        write(object.revision());
    } else if (object.revision()) {
        m_platform.remove(collection::Nodes, m_kernel.settings().name(), *object.revision(), [](const StoreReply &) {
            // If this fails, another node deletes the object once this node is dead.
        });
    }
}

bool Announcer::isOfLatestEra(const StoreReply &reply) const
{
    const ExpectedRevision revision = revisionIn(reply);
    return !revision || revision->era() >= m_platform.era();
}

bool Announcer::isGone() const
{
    return m_isWithdrawn && m_table.locked([](const Table &table) {
        return table.m_object.departures().empty();
    });
}

void Announcer::keep(Departures departures, Stored stored)
{
    const std::uint64_t id = m_table.locked([&](Table &table) {
        table.m_object = afterKeep(table.m_object, departures);
        if (stored) {
            table.m_waiting.push_back(Waiting{table.m_nextWaitingId, std::move(departures), stored});
        }
        return table.m_nextWaitingId++;
    });
    if (stored) {
        m_kernel.timers().once(m_kernel.clock().now() + DepartureStoreTimeout, [this, id] {
            giveUpWaiting(id);
        });
    }
    writeMissing();
}

void Announcer::onRecovered(Recovered handler)
{
    const bool hasRecovered = m_table.locked([&](Table &table) {
        table.m_onRecovered = handler;
        return table.m_object.hasRecovered();
    });
    if (hasRecovered) {
        // What was found before has been kept for the handler.
        handler(m_table.locked([](const Table &table) {
            return table.m_object.departures();
        }));
    }
}

void Announcer::reportRecovered(const Departures &earlier)
{
    const Recovered handler = m_table.locked([&](Table &table) {
        table.m_object = table.m_object.withHasRecovered(true);
        if (!table.m_onRecovered) {
            table.m_object = afterKeep(table.m_object, earlier);
        }
        return table.m_onRecovered;
    });
    if (handler) {
        handler(earlier);
    }
}

void Announcer::writeMissing()
{
    serveWaiting();
    const auto [isOwn, isCurrent, isAwaited, revision] = m_table.locked([](const Table &table) {
        const NodeObject &object = table.m_object;
        return std::tuple(
            object.storedDepartures().has_value(), object.isCurrent(), !table.m_waiting.empty(), object.revision());
    });
    if (isOwn && !isCurrent) {
        write(revision);
    } else if (!isOwn && isAwaited) {
        check();
    }
}

void Announcer::serveWaiting()
{
    const auto served = m_table.locked([](Table &table) {
        const auto begin =
            std::stable_partition(table.m_waiting.begin(), table.m_waiting.end(), [&](const Waiting &waiting) {
                return !table.m_object.holds(waiting.m_departures);
            });
        std::vector<Waiting> done(std::make_move_iterator(begin), std::make_move_iterator(table.m_waiting.end()));
        table.m_waiting.erase(begin, table.m_waiting.end());
        return done;
    });
    for (const Waiting &waiting : served) {
        waiting.m_stored(true);
    }
}

void Announcer::giveUpWaiting(std::uint64_t id)
{
    const Stored stored = m_table.locked([id](Table &table) -> Stored {
        const auto found = std::find_if(table.m_waiting.begin(), table.m_waiting.end(), [id](const Waiting &waiting) {
            return waiting.m_id == id;
        });
        if (found == table.m_waiting.end()) {
            return nullptr;
        }
        Stored result = std::move(found->m_stored);
        table.m_waiting.erase(found);
        return result;
    });
    if (stored) {
        stored(false);
    }
}

template<typename Change>
NodeObject Announcer::endCall(const Change &change)
{
    const auto [object, isCheckMissed] = m_table.locked([&](Table &table) {
        table.m_isBusy = false;
        table.m_object = change(table.m_object);
        return std::pair(table.m_object, std::exchange(table.m_isCheckMissed, false));
    });
    if (isCheckMissed) {
        retryCheckLater();
    }
    return object;
}

void Announcer::write(const ExpectedRevision &expected)
{
    if (isGone()) {
        return;
    }
    const auto departures = m_table.locked([](Table &table) -> std::optional<Departures> {
        return std::exchange(table.m_isBusy, true) ? std::nullopt : std::optional(table.m_object.departures());
    });
    if (!departures) {
        return;
    }
    const Member self = m_members.self();
    m_platform.put(collection::Nodes,
                   self.name(),
                   toJson(self, *departures),
                   expected,
                   [this, expected, departures = *departures](const StoreReply &reply) {
                       handleWriteReply(reply, expected, departures);
                   });
}

void Announcer::handleWriteReply(const StoreReply &reply,
                                 const ExpectedRevision &expected,
                                 const Departures &departures)
{
    bool isWritten = false;
    endCall([&](const NodeObject &known) {
        isWritten = reply.status() == StoreStatus::Ok && isOfLatestEra(reply);
        return isWritten ? afterWrite(known, revisionIn(reply), departures) : known;
    });
    if (isWritten) {
        m_failures = 0;
        Event("announced")
            .with("version", reply.objects().front().revision().number())
            .with("departures", departures.size());
        if (!expected) {
            reportRecovered({});
        }
        handleStored();
        if (isGone()) {
            withdraw();
        }
        return;
    }
    if (reply.status() == StoreStatus::Unavailable) {
        // The write may have taken effect; the next check shows whether it did. Others may be readable meanwhile.
        if (!m_hasListedEarly.exchange(true)) {
            listOthers();
        }
        retryCheckLater();
        return;
    }
    check();
}

void Announcer::check()
{
    if (isGone()) {
        return;
    }
    const bool isBusy = m_table.locked([](Table &table) {
        table.m_isCheckMissed = table.m_isBusy;
        return std::exchange(table.m_isBusy, true);
    });
    if (isBusy) {
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
    const Member self = m_members.self();
    const Departures departures = departuresIn(reply);
    const bool isOutdated = reply.status() == StoreStatus::Ok && !isOfLatestEra(reply);
    const StoreStatus status = isOutdated ? StoreStatus::Unavailable : reply.status();
    const auto afterReply = [&](const NodeObject &known) {
        switch (status) {
        case StoreStatus::Ok:
            return afterRead(known, revisionIn(reply), departures, found && isSameIncarnation(self, *found));
        case StoreStatus::NotFound:
            return afterMissing(known);
        case StoreStatus::Conflict:
        case StoreStatus::Unavailable:
            break;
        }
        return known;
    };
    if (status == StoreStatus::Ok || status == StoreStatus::NotFound) {
        // Before the object is replaced.
        reportRecovered(departures);
    }
    const NodeObject object = endCall(afterReply);
    switch (decideAnnouncement(self, status, object, found)) {
    case AnnounceAction::None:
        m_failures = 0;
        handleStored();
        return;
    case AnnounceAction::Write:
        // Nodes that have started while the object was missing didn't find this node.
        m_hasListed = m_hasListed && found && isSameIncarnation(self, *found);
        write(object.revision());
        return;
    case AnnounceAction::RetryLater:
        retryCheckLater();
        return;
    case AnnounceAction::Superseded:
        Event("announce_gives_way").with("incarnation", found->incarnation().toString());
        return;
    }
}

void Announcer::handleRestore()
{
    const NodeObject object = m_table.locked([](Table &table) {
        table.m_handledIncarnations.clear();
        table.m_object = afterRestore(table.m_object);
        return table.m_object;
    });
    const Duration delay = restoreCheckDelay(object, randomWord());
    m_kernel.timers().once(m_kernel.clock().now() + delay, [this] {
        check();
    });
}

void Announcer::retryLater(const std::function<void()> &action)
{
    const NodeObject object = m_table.locked([](const Table &table) {
        return table.m_object;
    });
    const Duration pause = announceRetryDelay(object, m_failures++, randomWord());
    m_kernel.timers().once(m_kernel.clock().now() + pause, action);
}

void Announcer::retryCheckLater()
{
    if (m_isCheckDue.exchange(true)) {
        return;
    }
    retryLater([this] {
        m_isCheckDue = false;
        check();
    });
}

void Announcer::handleStored()
{
    writeMissing();
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
