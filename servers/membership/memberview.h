// One node's view of the fleet: its own record and the latest known record of each other node.
//
// A view is a value. Functions that change it take it by value and return the changed view, so that a caller that no
// longer needs the old view can move it in without a copy.

#pragma once

#include "core/kernel/clock.h"
#include "core/value.h"
#include "core/values/member.h"

#include <map>
#include <set>
#include <string>

namespace fescuepond
{

/// The latest known record of another node.
class MemberEntry
{
    FESCUEPOND_FIELD(Member, member, withMember);
    FESCUEPOND_FIELD(TimePoint, changedAt, withChangedAt); ///< When this node received the record.
    /// In how many more messages the record will be piggybacked.
    FESCUEPOND_FIELD(int, retransmissionsLeft, withRetransmissionsLeft);

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
    /// The record of a member, which may be this node itself; null if the member is unknown.
    const Member *find(const std::string &name) const;
    /// Number of members that are not dead, including this node.
    std::size_t size() const;
    /// Records of all members that are not dead, except this node.
    Members others() const;
    /// All records, including dead members and this node.
    Members all() const;
    /// The number of records in all().
    std::size_t recordCount() const
    {
        return m_entries.size() + 1;
    }

    /// Replaces this node's own record; `self` must not be older than the current one.
    MemberView withSelf(Member self) &&;
    /// Adds or replaces the record of another node; it must override the known one. Unless `isGossiped`, the record is
    /// not piggybacked on messages.
    MemberView withRecord(Member member, TimePoint now, bool isGossiped = true) &&;
    /// Records that the record of `name` was piggybacked on a message.
    MemberView withTransmission(const std::string &name) &&;
    /// Takes over the configuration version from `member`, which changes without a new sequence number.
    MemberView withConfigurationVersion(const Member &member) &&;
    /// Records that a message arrived from a member of `zone`.
    MemberView withContact(const std::string &zone, TimePoint now) &&;
    /// Whether a message has arrived from a member of `zone` at `since` or later.
    bool hasContact(const std::string &zone, TimePoint since) const;
    /// Whether a message has ever arrived from any other member.
    bool hasContacts() const
    {
        return !m_contacts.empty();
    }
    MemberView withoutMember(const std::string &name) &&;
    /// Names of members whose records have changed since the last withoutChangedNames().
    const NameSet &changedNames() const
    {
        return m_changedNames;
    }
    MemberView withoutChangedNames() &&;

    friend auto operator<=>(const MemberView &, const MemberView &) = default;

private:
    Member m_self; ///< Never overridden by records from other nodes.
    TimePoint m_startedAt; ///< When this incarnation started, by this node's clock.
    MemberEntries m_entries; ///< Other nodes only.
    std::map<std::string, TimePoint> m_contacts; ///< By zone: when the last message from one of its members arrived.
    NameSet m_changedNames;
};

/// In how many messages a change is piggybacked in a fleet of `size` members, so that it reaches all members with high
/// probability.
int retransmitLimit(std::size_t size);

/// Whether a zone has at least two suspect members and no more alive ones than suspect ones: then the zone counts as
/// partitioned, rather than its members as failed.
bool isZoneUnreachable(const MemberView &view, const std::string &zone);

/// Members of `service` that may get new calls. They include suspect ones, for callers without another choice; members
/// of an unreachable zone are returned as suspect.
Members targetsOf(const MemberView &view, const std::string &service);

} // namespace fescuepond
