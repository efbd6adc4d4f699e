// One node's view of the fleet.

#include "servers/membership/memberview.h"

#include "core/kernel/invariant.h"
#include "servers/membership/memberrecord.h"

#include <cmath>

namespace fescuepond
{

namespace
{

/// Retransmissions of a change per decimal digit of the fleet size.
constexpr double RetransmitFactor = 4;
/// If fewer members of a zone are suspect, those members have failed; the zone is still connected.
constexpr std::size_t MinUnreachableSuspects = 2;

} // namespace

const Member *MemberView::find(const std::string &name) const
{
    if (name == m_self.name()) {
        return &m_self;
    }
    const auto found = m_entries.find(name);
    return found == m_entries.end() ? nullptr : &found->second.member();
}

std::size_t MemberView::size() const
{
    std::size_t count = 1;
    for (const auto &[name, entry] : m_entries) {
        count += entry.member().state() == MemberState::Dead ? 0 : 1;
    }
    return count;
}

Members MemberView::others() const
{
    Members members;
    for (const auto &[name, entry] : m_entries) {
        if (entry.member().state() != MemberState::Dead) {
            members.push_back(entry.member());
        }
    }
    return members;
}

Members MemberView::all() const
{
    Members members = {m_self};
    for (const auto &[name, entry] : m_entries) {
        members.push_back(entry.member());
    }
    return members;
}

MemberView MemberView::withSelf(Member self) &&
{
    invariant(self.name() == m_self.name() && self.incarnation() == m_self.incarnation(),
              "a node's own record keeps its name and incarnation");
    invariant(!overrides(m_self, self), "a node's own record is never replaced by an older one");
    if (overrides(self, m_self)) {
        m_changedNames.insert(self.name());
    }
    m_self = std::move(self);
    return std::move(*this);
}

MemberView MemberView::withRecord(Member member, TimePoint now, bool isGossiped) &&
{
    invariant(member.name() != m_self.name(), "a record from another node never replaces a node's own");
    const Member *known = find(member.name());
    invariant(known == nullptr || overrides(member, *known),
              "a record of a member is only replaced by one that overrides it");
    const std::string name = member.name();
    const int retransmissions = isGossiped ? retransmitLimit(m_entries.size() + 1) : 0;
    m_changedNames.insert(name);
    m_entries.insert_or_assign(
        name, MemberEntry().withMember(std::move(member)).withChangedAt(now).withRetransmissionsLeft(retransmissions));
    return std::move(*this);
}

MemberView MemberView::withTransmission(const std::string &name) &&
{
    const auto found = m_entries.find(name);
    if (found != m_entries.end()) {
        found->second = found->second.withRetransmissionsLeft(found->second.retransmissionsLeft() - 1);
    }
    return std::move(*this);
}

MemberView MemberView::withConfigurationVersion(const Member &member) &&
{
    const auto found = m_entries.find(member.name());
    if (found == m_entries.end()) {
        return std::move(*this);
    }
    const Member &known = found->second.member();
    const bool isNewer =
        isSameIncarnation(known, member) && member.configurationVersion() > known.configurationVersion();
    if (isNewer) {
        found->second = found->second.withMember(known.withConfigurationVersion(member.configurationVersion()));
    }
    return std::move(*this);
}

MemberView MemberView::withContact(const std::string &zone, TimePoint now) &&
{
    m_contacts.insert_or_assign(zone, now);
    return std::move(*this);
}

bool MemberView::hasContact(const std::string &zone, TimePoint since) const
{
    const auto found = m_contacts.find(zone);
    return found != m_contacts.end() && found->second >= since;
}

MemberView MemberView::withoutMember(const std::string &name) &&
{
    m_entries.erase(name);
    m_changedNames.insert(name);
    return std::move(*this);
}

MemberView MemberView::withoutChangedNames() &&
{
    m_changedNames.clear();
    return std::move(*this);
}

int retransmitLimit(std::size_t size)
{
    return static_cast<int>(std::ceil(RetransmitFactor * std::log10(static_cast<double>(size) + 1)));
}

bool isZoneUnreachable(const MemberView &view, const std::string &zone)
{
    std::size_t alive = 0;
    std::size_t suspect = 0;
    for (const auto &[name, entry] : view.entries()) {
        if (entry.member().zone() != zone) {
            continue;
        }
        alive += entry.member().state() == MemberState::Alive ? 1 : 0;
        suspect += entry.member().state() == MemberState::Suspect ? 1 : 0;
    }
    return suspect >= MinUnreachableSuspects && suspect >= alive;
}

Members targetsOf(const MemberView &view, const std::string &service)
{
    Members targets;
    for (const Member &member : view.all()) {
        const bool acceptsCalls = member.state() == MemberState::Alive || member.state() == MemberState::Suspect;
        if (!acceptsCalls || !member.isServing() || member.service() != service) {
            continue;
        }
        const bool isSelf = member.name() == view.self().name();
        const bool isInUnreachableZone = !isSelf && isZoneUnreachable(view, member.zone());
        targets.push_back(isInUnreachableZone ? member.withState(MemberState::Suspect) : member);
    }
    return targets;
}

} // namespace fescuepond
