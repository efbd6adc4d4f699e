// Registration of a node at the platform.

#include "servers/membership/announcement.h"

#include "servers/membership/memberrecord.h"

#include <algorithm>

namespace fescuepond
{

namespace
{

constexpr Duration InitialRetryDelay = std::chrono::milliseconds(500);
constexpr Duration MaxRetryDelay = std::chrono::seconds(30);
/// Until the departures of earlier processes are known.
constexpr Duration InitialRecoveryRetryDelay = std::chrono::milliseconds(100);
constexpr Duration MaxRecoveryRetryDelay = std::chrono::seconds(2);
constexpr int MaxDoublings = 6;
constexpr Duration RestoreCheckSpread = std::chrono::seconds(1);
/// How long a member has been dead before its object is deleted. One that was only partitioned is alive again by then,
/// and a backend server that has departed has ended.
constexpr Duration StaleAfter = std::chrono::minutes(10);

/// Whether this node deletes the object of `dead`: of all alive members it has the lowest hash of both names
/// (rendezvous hashing).
bool isCollectorFor(const MemberView &view, const std::string &dead)
{
    const std::uint64_t own = nameHash(view.self().name() + "/" + dead);
    const Members others = view.others();
    return std::none_of(others.begin(), others.end(), [&](const Member &other) {
        return other.state() == MemberState::Alive && nameHash(other.name() + "/" + dead) < own;
    });
}

} // namespace

AnnounceAction
decideAnnouncement(const Member &self, StoreStatus status, const NodeObject &object, const std::optional<Member> &found)
{
    switch (status) {
    case StoreStatus::NotFound:
        return AnnounceAction::Write;
    case StoreStatus::Ok:
        break;
    case StoreStatus::Conflict:
    case StoreStatus::Unavailable:
        return AnnounceAction::RetryLater;
    }
    if (found && isSameIncarnation(self, *found)) {
        return object.isCurrent() ? AnnounceAction::None : AnnounceAction::Write;
    }
    const bool isLaterIncarnation = found && found->name() == self.name() && overrides(*found, self);
    return isLaterIncarnation ? AnnounceAction::Superseded : AnnounceAction::Write;
}

Duration announceRetryDelay(const NodeObject &object, int failures, std::uint64_t random)
{
    const Duration first = object.hasRecovered() ? InitialRetryDelay : InitialRecoveryRetryDelay;
    const Duration greatest = object.hasRecovered() ? MaxRetryDelay : MaxRecoveryRetryDelay;
    const Duration longest = std::min(greatest, first * (1 << std::min(failures, MaxDoublings)));
    const Duration half = longest / 2;
    return half + Duration(static_cast<Duration::rep>(random % static_cast<std::uint64_t>(half.count())));
}

Duration restoreCheckDelay(const NodeObject &object, std::uint64_t random)
{
    if (!object.departures().empty()) {
        return Duration::zero();
    }
    return Duration(static_cast<Duration::rep>(random % static_cast<std::uint64_t>(RestoreCheckSpread.count())));
}

Members staleObjectsFor(const MemberView &view, TimePoint now)
{
    Members stale;
    for (const auto &[name, entry] : view.entries()) {
        const bool isOld = entry.member().state() == MemberState::Dead && now - entry.changedAt() >= StaleAfter;
        if (isOld && isCollectorFor(view, name)) {
            stale.push_back(entry.member());
        }
    }
    return stale;
}

bool isStale(const Member &dead, const std::optional<Member> &found)
{
    return found && isSameIncarnation(dead, *found);
}

} // namespace fescuepond
