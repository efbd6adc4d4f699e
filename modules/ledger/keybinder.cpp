// Binds keys chosen by callers to the nodes that own them, by objects at the platform.

#include "modules/ledger/keybinder.h"

#include "core/kernel/eventlog.h"
#include "core/pipeline/collections.h"
#include "modules/ledger/ledgerencoding.h"

namespace fescuepond
{

namespace
{

constexpr std::size_t MaxCachedBindings = 4'096;
constexpr std::size_t MaxCreatedObjects = 65'536;
/// Retention time of the platform's object. Until it is removed, the key can't run on any other node.
constexpr Duration BindingLifetime = std::chrono::hours(1);
constexpr Duration RemoveInterval = std::chrono::seconds(1);
constexpr int MaxRemovalsPerInterval = 5;
/// How old the copy may be from which the store is restored, with a margin.
constexpr Duration MaxCopyAge = std::chrono::minutes(1);
/// For how long new keys are rejected after a restore. The restore becomes known to all nodes within the interval at
/// which they compare configurations.
constexpr Duration WriteAgainTime = std::chrono::seconds(15);
constexpr int MaxWrittenAgainPerInterval = 20;
constexpr const char *RestoredDetail = "the platform was restored; the key may be bound by another node";
/// Maximum number of keys that wait for the platform at once. More would only delay each other.
constexpr std::size_t MaxBindingsInFlight = 256;

/// The binding in a reply; empty if there is no object or its content can't be parsed.
std::optional<KeyBinding> bindingIn(const StoreReply &reply)
{
    return reply.status() == StoreStatus::Ok ? bindingFromJson(reply.objects().front().value()) : std::nullopt;
}

} // namespace

KeyBinder::KeyBinder(Kernel &kernel, ObjectStore &platform)
    : m_kernel(kernel)
    , m_platform(platform)
{
    kernel.timers().every(RemoveInterval, [this] {
        removeOldObjects();
        writeAgain();
    });
    platform.onRestore([this] {
        handleRestore();
    });
}

void KeyBinder::bind(const KeyBinding &proposed, const BindCallback &callback)
{
    const auto known = m_table.locked([&](const Table &table) -> std::optional<Ticket> {
        const auto found = table.m_cache.find(proposed.scopedKey());
        return found == table.m_cache.end() ? std::nullopt : std::optional(found->second);
    });
    if (known) {
        callback(BindingDecision().withAction(BindingAction::Use).withBinding(proposed.withTicket(*known)));
        return;
    }
    if (++m_inFlight > MaxBindingsInFlight) {
        finish(rejectBinding("too many keys wait for the platform"), callback);
        return;
    }
    if (!acceptsNewKeys()) {
        finish(rejectBinding(RestoredDetail), callback);
        return;
    }
    write(proposed, MaxBindingWrites, callback);
}

void KeyBinder::perform(const BindingDecision &decision,
                        const KeyBinding &proposed,
                        int writesLeft,
                        const BindCallback &callback)
{
    switch (decision.action()) {
    case BindingAction::Write:
        write(proposed, writesLeft, callback);
        return;
    case BindingAction::Read:
        read(proposed, writesLeft, callback);
        return;
    case BindingAction::Use:
    case BindingAction::Reject:
        finish(decision, callback);
        return;
    }
}

void KeyBinder::write(const KeyBinding &proposed, int writesLeft, const BindCallback &callback)
{
    m_kernel.metrics().count("fescuepond_key_platform_calls_total", {{"operation", "create"}});
    m_platform.put(collection::Keys,
                   bindingObjectName(proposed.scopedKey()),
                   toJson(proposed),
                   std::nullopt,
                   [this, proposed, writesLeft, callback](const StoreReply &reply) {
                       if (reply.status() == StoreStatus::Ok) {
                           if (!acceptsNewKeys()) {
                               // The reply itself has shown the restore.
                               removeObject(proposed);
                               finish(rejectBinding(RestoredDetail), callback);
                               return;
                           }
                           recordCreatedObject(proposed);
                       }
                       perform(afterBindingWrite(reply.status(), proposed), proposed, writesLeft - 1, callback);
                   });
}

void KeyBinder::read(const KeyBinding &proposed, int writesLeft, const BindCallback &callback)
{
    m_kernel.metrics().count("fescuepond_key_platform_calls_total", {{"operation", "read"}});
    m_platform.get(
        collection::Keys,
        bindingObjectName(proposed.scopedKey()),
        [this, proposed, writesLeft, callback](const StoreReply &reply) {
            if (!acceptsNewKeys()) {
                // The binding may be one that its creator is about to remove.
                finish(rejectBinding(RestoredDetail), callback);
                return;
            }
            const auto found = bindingIn(reply);
            if (found && *found == proposed) {
                recordCreatedObject(proposed);
            }
            perform(afterBindingRead(reply.status(), found, proposed, writesLeft), proposed, writesLeft, callback);
        });
}

void KeyBinder::finish(const BindingDecision &decision, const BindCallback &callback)
{
    --m_inFlight;
    if (decision.action() == BindingAction::Use) {
        const KeyBinding &binding = decision.binding();
        m_table.locked([&](Table &table) {
            if (!table.m_cache.emplace(binding.scopedKey(), binding.ticket()).second) {
                return;
            }
            table.m_order.push_back(binding.scopedKey());
            if (table.m_order.size() > MaxCachedBindings) {
                table.m_cache.erase(table.m_order.front());
                table.m_order.pop_front();
            }
        });
    }
    callback(decision);
}

void KeyBinder::recordCreatedObject(const KeyBinding &binding)
{
    m_table.locked([&](Table &table) {
        if (table.m_createdObjects.size() < MaxCreatedObjects) {
            table.m_createdObjects.push_back({m_kernel.clock().now(), binding});
        }
    });
}

void KeyBinder::removeOldObjects()
{
    const TimePoint now = m_kernel.clock().now();
    for (int i = 0; i < MaxRemovalsPerInterval; ++i) {
        const auto old = m_table.locked([&](Table &table) -> std::optional<CreatedObject> {
            if (table.m_createdObjects.empty() || table.m_createdObjects.front().m_createdAt + BindingLifetime > now) {
                return std::nullopt;
            }
            CreatedObject front = table.m_createdObjects.front();
            table.m_createdObjects.pop_front();
            return front;
        });
        if (!old) {
            return;
        }
        removeObject(old->m_binding);
    }
}

void KeyBinder::removeObject(const KeyBinding &binding)
{
    const std::string name = bindingObjectName(binding.scopedKey());
    m_kernel.metrics().count("fescuepond_key_platform_calls_total", {{"operation", "remove"}});
    // A failed removal is not retried: the object only keeps its key in use for longer. The key may be bound again
    // since a restore, so only this binding is removed.
    m_platform.get(collection::Keys, name, [this, binding, name](const StoreReply &reply) {
        if (bindingIn(reply) == binding) {
            m_platform.remove(collection::Keys, name, reply.objects().front().revision(), [](const StoreReply &) {});
        }
    });
}

bool KeyBinder::acceptsNewKeys() const
{
    const TimePoint now = m_kernel.clock().now();
    return m_table.locked([&](const Table &table) {
        return now >= table.m_newKeysFrom;
    });
}

void KeyBinder::handleRestore()
{
    const TimePoint now = m_kernel.clock().now();
    m_table.locked([&](Table &table) {
        table.m_newKeysFrom = now + WriteAgainTime;
        table.m_toWriteAgain.clear();
        for (auto created = table.m_createdObjects.rbegin(); created != table.m_createdObjects.rend(); ++created) {
            if (created->m_createdAt + MaxCopyAge < now) {
                break;
            }
            table.m_toWriteAgain.push_back(created->m_binding);
        }
    });
    writeAgain();
}

void KeyBinder::writeAgain()
{
    for (int i = 0; i < MaxWrittenAgainPerInterval; ++i) {
        const auto next = m_table.locked([](Table &table) -> std::optional<KeyBinding> {
            if (table.m_toWriteAgain.empty()) {
                return std::nullopt;
            }
            KeyBinding front = std::move(table.m_toWriteAgain.front());
            table.m_toWriteAgain.pop_front();
            return front;
        });
        if (!next) {
            return;
        }
        writeAgain(*next);
    }
}

void KeyBinder::writeAgain(const KeyBinding &binding)
{
    m_kernel.metrics().count("fescuepond_key_platform_calls_total", {{"operation", "create"}});
    m_platform.put(collection::Keys,
                   bindingObjectName(binding.scopedKey()),
                   toJson(binding),
                   std::nullopt,
                   [this, binding](const StoreReply &reply) {
                       if (reply.status() == StoreStatus::Unavailable) {
                           writeAgainLater(binding);
                       } else if (reply.status() == StoreStatus::Conflict) {
                           checkWrittenAgain(binding);
                       }
                   });
}

void KeyBinder::checkWrittenAgain(const KeyBinding &binding)
{
    m_platform.get(collection::Keys, bindingObjectName(binding.scopedKey()), [this, binding](const StoreReply &reply) {
        if (bindingIn(reply) != binding) {
            // A node that hadn't heard of the restore has bound the key, and removes that binding.
            writeAgainLater(binding);
        }
    });
}

void KeyBinder::writeAgainLater(const KeyBinding &binding)
{
    const TimePoint now = m_kernel.clock().now();
    const bool isInTime = m_table.locked([&](Table &table) {
        if (now >= table.m_newKeysFrom) {
            return false;
        }
        table.m_toWriteAgain.push_back(binding);
        return true;
    });
    if (!isInTime) {
        Event("key_binding_lost").with("object", bindingObjectName(binding.scopedKey()));
    }
}

} // namespace fescuepond
