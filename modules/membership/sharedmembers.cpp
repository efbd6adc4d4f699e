// The view of the fleet as a shared table.

#include "modules/membership/sharedmembers.h"

#include "core/kernel/eventlog.h"

namespace fescuepond
{

SharedMembers::SharedMembers(MemberView view)
    : m_table(LockRank::Members, Table{std::move(view), {}})
{
}

Member SharedMembers::self() const
{
    return read([](const MemberView &view) {
        return view.self();
    });
}

std::shared_ptr<const Members> SharedMembers::targetsOf(const std::string &service) const
{
    return m_table.locked([&](const Table &table) {
        auto &targets = table.m_targets[service];
        if (!targets) {
            targets = std::make_shared<const Members>(fescuepond::targetsOf(table.m_view, service));
        }
        return targets;
    });
}

Members SharedMembers::takeChangedMembers(Table &table)
{
    Members changed;
    for (const std::string &name : table.m_view.changedNames()) {
        const Member *member = table.m_view.find(name);
        if (member != nullptr) {
            changed.push_back(*member);
        }
    }
    if (!table.m_view.changedNames().empty()) {
        table.m_targets.clear();
        table.m_view = std::move(table.m_view).withoutChangedNames();
    }
    return changed;
}

void SharedMembers::logChanges(const Members &changed)
{
    for (const Member &member : changed) {
        Event("member_changed")
            .with("member", member.name())
            .with("state", toString(member.state()))
            .with("sequence", member.sequence())
            .with("incarnation", member.incarnation().toString());
    }
}

} // namespace fescuepond
