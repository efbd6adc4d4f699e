// What one node knows of the fleet: its own record, and the latest record of each other node.
//
// A view is a value. Functions that change it take it by value and return the changedNames one, so that a caller that
// no longer needs the old view moves it and copies nothing.

#pragma once

#include "core/kernel/clock.h"
#include "core/value.h"
#include "core/values/member.h"

#include <map>
#include <set>
#include <string>

namespace fescuepond
{

/// The latest record of another node.
class MemberEntry
{
    FESCUEPOND_FIELD(Member, member, withMember);
    FESCUEPOND_FIELD(TimePoint, changedAt, withChangedAt); ///< When this node first had the record.
    FESCUEPOND_FIELD(int,
                     retransmissionsLeft,
                     withRetransmissionsLeft); ///< How often the record still rides on messages.

public:
    friend auto operator<=>(const MemberEntry &, const MemberEntry &) = default;
};

using MemberEntries = std::map<std::string, MemberEntry>;
using NameSet = std::set<std::string>;

class MemberView
{
public:
    MemberView() = default;
    MemberView(Member self, TimePoint now)
        : m_self(std::move(self))
        , m_startedAt(now)
    {
    }

    const Member &self() const
    {
        return m_self;
    }
    TimePoint startedAt() const
    {
        return m_startedAt;
    }
    const MemberEntries &entries() const
    {
        return m_entries;
    }
    /// The record of a member, or null; also this node's own.
    const Member *find(const std::string &name) const;
    /// Members that are not dead, this node included.
    std::size_t size() const;
    /// Members that are not dead, without this node.
    Members others() const;
    /// All records, this node's own included.
    Members all() const;

    /// Replaces the own record. It only moves forward.
    MemberView withSelf(Member self) &&;
    /// Adds or replaces a record of another node. It only moves forward. A change that is not to be spread rides on no
    /// message.
    MemberView withRecord(Member member, TimePoint now, bool isGossiped = true) &&;
    /// Notes that the record of `name` went out on a message.
    MemberView withTransmission(const std::string &name) &&;
    /// Takes over what `member` says of itself without a new sequence: the version of its configuration.
    MemberView withConfigurationVersion(const Member &member) &&;
    /// Notes that a member of `zone` was heard of directly.
    MemberView withContact(const std::string &zone, TimePoint now) &&;
    /// Whether a member of `zone` was heard of directly at `since` or later.
    bool hasContact(const std::string &zone, TimePoint since) const;
    /// Whether any other member was ever heard of directly.
    bool hasContacts() const
    {
        return !m_contacts.empty();
    }
    MemberView without(const std::string &name) &&;
    /// Names of members whose records changedNames since they were last cleared.
    const NameSet &changedNames() const
    {
        return m_changedNames;
    }
    MemberView withoutChangedNames() &&;

    friend auto operator<=>(const MemberView &, const MemberView &) = default;

private:
    Member m_self; ///< Never overridden by what others say.
    TimePoint m_startedAt; ///< When this life of the node began, by its own clock.
    MemberEntries m_entries; ///< Without m_self.
    std::map<std::string, TimePoint> m_contacts; ///< By zone: when a member of it was last heard of directly.
    NameSet m_changedNames;
};

/// How often a change rides on messages in a fleet of `size` members, so that it reaches all with high probability.
int retransmitLimit(std::size_t size);

/// Whether most members of a zone became suspect together: the zone is cut off, not dead.
bool isZoneUnreachable(const MemberView &view, const std::string &zone);

/// Members of `service` that may be given new work. Suspect ones are among them, for a caller that has no other; those
/// of an unreachable zone count as suspect.
Members targetsOf(const MemberView &view, const std::string &service);

} // namespace fescuepond
