// The view of the fleet as a shared table, with a cache of the targets of each service.

#pragma once

#include "core/kernel/sharedtable.h"
#include "servers/membership/gossip.h"

#include <map>
#include <memory>
#include <string>

namespace fescuepond
{

class SharedMembers
{
public:
    explicit SharedMembers(MemberView view);

    /// Replaces the view by `change(view)`, and logs the changed records.
    template<typename Change>
    void update(Change &&change)
    {
        const Members changed = m_table.locked([&](Table &table) {
            table.m_view = change(std::move(table.m_view));
            return takeChangedMembers(table);
        });
        logChanges(changed);
    }

    /// Replaces the view by that of `decide(view)`, a GossipStep, logs the changed records and returns the step's
    /// message.
    template<typename Decide>
    auto step(Decide &&decide)
    {
        Members changed;
        auto message = m_table.locked([&](Table &table) {
            auto step = decide(std::move(table.m_view));
            table.m_view = std::move(step.view);
            changed = takeChangedMembers(table);
            return std::move(step.message);
        });
        logChanges(changed);
        return message;
    }

    template<typename Read>
    auto read(Read &&read) const
    {
        return m_table.locked([&](const Table &table) {
            return read(table.m_view);
        });
    }

    Member self() const;
    std::shared_ptr<const Members> targetsOf(const std::string &service) const;

private:
    using Targets = std::map<std::string, std::shared_ptr<const Members>>;

    struct Table {
        MemberView m_view;
        mutable Targets m_targets; ///< Cache by service; cleared when any record changes.
    };

    static Members takeChangedMembers(Table &table);
    static void logChanges(const Members &changed);

    SharedTable<Table> m_table;
};

} // namespace fescuepond
