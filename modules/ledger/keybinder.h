// Binds keys chosen by callers to the nodes that own them, by objects at the platform.
//
// A new key costs one conditional create. A key whose binding this node has cached costs no platform call. Objects
// created by this node are removed after their lifetime, at a bounded rate; after that the key counts as new.
//
// A restore of the platform's store loses the latest bindings. Each node writes those again that it has created, and
// rejects keys that are new to it until all nodes have had the time to do so: the key may be bound elsewhere.

#pragma once

#include "core/kernel/kernel.h"
#include "core/kernel/sharedtable.h"
#include "core/pipeline/interfaces.h"
#include "servers/ledger/binding.h"

#include <atomic>
#include <deque>
#include <functional>
#include <string>
#include <unordered_map>

namespace fescuepond
{

class KeyBinder
{
public:
    /// Called with the action Use or Reject.
    using BindCallback = std::function<void(const BindingDecision &)>;

    KeyBinder(Kernel &kernel, ObjectStore &platform);

    void bind(const KeyBinding &proposed, const BindCallback &callback);

private:
    struct CreatedObject {
        TimePoint m_createdAt;
        KeyBinding m_binding;
    };
    struct Table {
        std::unordered_map<std::string, Ticket> m_cache; ///< By scoped key.
        std::deque<std::string> m_order; ///< Has exactly the keys of m_cache, oldest first.
        std::deque<CreatedObject> m_createdObjects; ///< Oldest first.
        std::deque<KeyBinding> m_toWriteAgain; ///< Newest first; empty unless the store was restored.
        TimePoint m_newKeysFrom; ///< Until then keys that this node doesn't know are rejected.
    };

    void
    perform(const BindingDecision &decision, const KeyBinding &proposed, int writesLeft, const BindCallback &callback);
    void write(const KeyBinding &proposed, int writesLeft, const BindCallback &callback);
    void read(const KeyBinding &proposed, int writesLeft, const BindCallback &callback);
    void finish(const BindingDecision &decision, const BindCallback &callback);
    void recordCreatedObject(const KeyBinding &binding);
    void removeOldObjects();
    void removeObject(const KeyBinding &binding);
    bool acceptsNewKeys() const;
    void handleRestore();
    void writeAgain();
    void writeAgain(const KeyBinding &binding);
    void checkWrittenAgain(const KeyBinding &binding);
    void writeAgainLater(const KeyBinding &binding);

    Kernel &m_kernel;
    ObjectStore &m_platform;
    SharedTable<Table> m_table{LockRank::KeyRecords};
    std::atomic<std::size_t> m_inFlight = 0; ///< Number of bindings between bind() and finish().
};

} // namespace fescuepond
