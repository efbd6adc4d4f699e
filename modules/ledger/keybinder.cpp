// Binds keys that callers chose to their homes, at the platform.

#include "modules/ledger/keybinder.h"

#include "core/pipeline/collections.h"
#include "modules/ledger/ledgerencoding.h"

namespace fescuepond
{

namespace
{

constexpr std::size_t MaxKnownBindings = 4'096;
constexpr std::size_t MaxOwnObjects = 65'536;
/// For this time the platform's object keeps a key from running again, wherever it is sent.
constexpr Duration BindingLifetime = std::chrono::hours(1);
constexpr Duration RemoveInterval = std::chrono::seconds(1);
constexpr int MaxRemovalsPerInterval = 5;
/// Keys that wait for the platform at once. More only make each other late.
constexpr std::size_t MaxBindingsInFlight = 256;

} // namespace

KeyBinder::KeyBinder(Kernel &kernel, ObjectStore &platform)
    : m_kernel(kernel)
    , m_platform(platform)
{
    kernel.timers().every(RemoveInterval, [this] {
        removeOldObjects();
    });
}

void KeyBinder::bind(const KeyBinding &proposed, const Bound &bound)
{
    const auto known = m_table.locked([&](const Table &table) -> std::optional<Ticket> {
        const auto found = table.m_known.find(proposed.scopedKey());
        return found == table.m_known.end() ? std::nullopt : std::optional(found->second);
    });
    if (known) {
        bound(BindingDecision().withAction(BindingAction::Use).withBinding(proposed.withTicket(*known)));
        return;
    }
    if (++m_inFlight > MaxBindingsInFlight) {
        finish(refuseBinding("too many keys wait for the platform"), bound);
        return;
    }
    write(proposed, MaxBindingWrites, bound);
}

void KeyBinder::follow(const BindingDecision &decision, const KeyBinding &proposed, int writesLeft, const Bound &bound)
{
    switch (decision.action()) {
    case BindingAction::Write:
        write(proposed, writesLeft, bound);
        return;
    case BindingAction::Read:
        read(proposed, writesLeft, bound);
        return;
    case BindingAction::Use:
    case BindingAction::Refuse:
        finish(decision, bound);
        return;
    }
}

void KeyBinder::write(const KeyBinding &proposed, int writesLeft, const Bound &bound)
{
    m_kernel.metrics().count("fescuepond_key_platform_calls_total", {{"operation", "create"}});
    constexpr ObjectVersion NoObject = 0;
    m_platform.put(collection::Keys,
                   bindingObjectName(proposed.scopedKey()),
                   toJson(proposed),
                   NoObject,
                   [this, proposed, writesLeft, bound](const StoreReply &reply) {
                       if (reply.status() == StoreStatus::Ok) {
                           rememberOwnObject(reply.objects().front());
                       }
                       follow(afterBindingWrite(reply.status(), proposed), proposed, writesLeft - 1, bound);
                   });
}

void KeyBinder::read(const KeyBinding &proposed, int writesLeft, const Bound &bound)
{
    m_kernel.metrics().count("fescuepond_key_platform_calls_total", {{"operation", "read"}});
    m_platform.get(collection::Keys,
                   bindingObjectName(proposed.scopedKey()),
                   [this, proposed, writesLeft, bound](const StoreReply &reply) {
                       const bool isThere = reply.status() == StoreStatus::Ok;
                       const auto found = isThere ? bindingFromJson(reply.objects().front().value()) : std::nullopt;
                       if (found && *found == proposed) {
                           rememberOwnObject(reply.objects().front());
                       }
                       follow(
                           afterBindingRead(reply.status(), found, proposed, writesLeft), proposed, writesLeft, bound);
                   });
}

void KeyBinder::finish(const BindingDecision &decision, const Bound &bound)
{
    --m_inFlight;
    if (decision.action() == BindingAction::Use) {
        const KeyBinding &binding = decision.binding();
        m_table.locked([&](Table &table) {
            if (!table.m_known.emplace(binding.scopedKey(), binding.ticket()).second) {
                return;
            }
            table.m_order.push_back(binding.scopedKey());
            if (table.m_order.size() > MaxKnownBindings) {
                table.m_known.erase(table.m_order.front());
                table.m_order.pop_front();
            }
        });
    }
    bound(decision);
}

void KeyBinder::rememberOwnObject(const StoredObject &object)
{
    m_table.locked([&](Table &table) {
        if (table.m_ownObjects.size() < MaxOwnObjects) {
            table.m_ownObjects.push_back({m_kernel.clock().now(), object.name(), object.version()});
        }
    });
}

void KeyBinder::removeOldObjects()
{
    const TimePoint now = m_kernel.clock().now();
    for (int i = 0; i < MaxRemovalsPerInterval; ++i) {
        const auto old = m_table.locked([&](Table &table) -> std::optional<OwnObject> {
            if (table.m_ownObjects.empty() || table.m_ownObjects.front().m_madeAt + BindingLifetime > now) {
                return std::nullopt;
            }
            OwnObject front = table.m_ownObjects.front();
            table.m_ownObjects.pop_front();
            return front;
        });
        if (!old) {
            return;
        }
        m_kernel.metrics().count("fescuepond_key_platform_calls_total", {{"operation", "remove"}});
        // One that is not removed stays, which only makes its key count as used for longer.
        m_platform.remove(collection::Keys, old->m_name, old->m_version, [](const StoreReply &) {});
    }
}

} // namespace fescuepond
