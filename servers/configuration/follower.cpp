// Decides how a node follows the published configuration.

#include "servers/configuration/follower.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdlib>
#include <random>
#include <set>

namespace fescuepond
{

namespace
{

/// After this time without an answer the version may be pulled from another peer.
constexpr Duration PullTimeout = std::chrono::seconds(2);
constexpr Duration InitialRetryDelay = std::chrono::milliseconds(250);
constexpr Duration MaxRetryDelay = std::chrono::seconds(10);
constexpr unsigned MaxDoublings = 6;

/// Members with the lowest hashes are the watchers.
std::uint64_t watcherHash(const std::string &name)
{
    return XXH3_64bits(name.data(), name.size());
}

} // namespace

WatcherRole watcherRole(const Members &members, const Member &self)
{
    const std::uint64_t own = watcherHash(self.name());
    const auto isBefore = [&](const Member &member) {
        const bool isCandidate = member.zone() == self.zone() && member.region() == self.region()
            && member.state() == MemberState::Alive && member.name() != self.name();
        return isCandidate && watcherHash(member.name()) < own;
    };
    const auto before = static_cast<std::size_t>(std::count_if(members.begin(), members.end(), isBefore));
    if (before == 0) {
        return WatcherRole::First;
    }
    return before < WatchersPerZone ? WatcherRole::Standby : WatcherRole::None;
}

bool isWatcher(const Members &members, const Member &self)
{
    return watcherRole(members, self) != WatcherRole::None;
}

Duration firstWatchWait(const FollowBounds &bounds)
{
    const Duration whole = std::max(bounds.recoveryTime(), bounds.changeBound());
    return std::clamp(whole - bounds.callTimeout() - InitialRetryDelay - SpreadTime, MinWatchWait, MaxWatchWait);
}

Duration watchRetryDelay(unsigned failures, WatcherRole role, const FollowBounds &bounds, std::uint64_t random)
{
    const Duration delay = retryDelay(failures, random);
    if (role != WatcherRole::First) {
        return delay;
    }
    // The attempt before may have begun just before the platform responded again, and fails at its time-out.
    const Duration longest = bounds.recoveryTime() - bounds.callTimeout() - SpreadTime;
    return std::min(delay, std::max(longest, InitialRetryDelay));
}

std::vector<std::string> choosePeers(const Members &members,
                                     const Member &self,
                                     const std::vector<std::string> &seeds,
                                     std::size_t count,
                                     std::uint64_t random)
{
    std::set<std::string> candidates;
    for (const Member &member : members) {
        const bool canAnswer = member.state() != MemberState::Dead && member.name() != self.name();
        if (canAnswer) {
            candidates.insert(member.peerAddress());
        }
    }
    if (candidates.size() < count) {
        candidates.insert(seeds.begin(), seeds.end());
    }
    candidates.erase(self.peerAddress());
    candidates.erase(std::string());
    std::vector<std::string> chosen;
    std::mt19937_64 generator(random);
    std::sample(candidates.begin(), candidates.end(), std::back_inserter(chosen), count, generator);
    return chosen;
}

std::string chooseStandIn(const Members &members, const Member &self, std::uint64_t random)
{
    std::vector<std::string> candidates;
    for (const Member &member : members) {
        const bool isCandidate = member.state() == MemberState::Alive && member.zone() == self.zone()
            && member.region() == self.region() && member.name() != self.name() && !isWatcher(members, member);
        if (isCandidate) {
            candidates.push_back(member.peerAddress());
        }
    }
    return candidates.empty() ? std::string() : candidates[random % candidates.size()];
}

FollowerStep observeVersion(const FollowerState &state, ConfigurationVersion version, TimePoint now)
{
    const bool isNewer = version > state.heldVersion();
    const bool isInFlight = version <= state.pulledVersion() && now < state.pullDeadline();
    if (!isNewer || isInFlight) {
        return FollowerStep().withState(state).withShouldPull(false);
    }
    return FollowerStep()
        .withState(state.withPulledVersion(version).withPullDeadline(now + PullTimeout))
        .withShouldPull(true);
}

FollowerState finishPull(const FollowerState &state, ConfigurationVersion version)
{
    return state.pulledVersion() == version ? state.withPulledVersion(0) : state;
}

std::optional<FollowerState> advanceTo(const FollowerState &state, ConfigurationVersion version)
{
    if (version <= state.heldVersion()) {
        return std::nullopt;
    }
    const FollowerState next = state.withHeldVersion(version);
    // Invariant: the version in force never decreases.
    if (next.heldVersion() <= state.heldVersion()) {
        std::abort();
    }
    return next;
}

Duration retryDelay(unsigned failures, std::uint64_t random)
{
    const unsigned doublings = std::min(failures == 0 ? 0U : failures - 1, MaxDoublings);
    const Duration whole = std::min<Duration>(InitialRetryDelay * (1LL << doublings), MaxRetryDelay);
    std::mt19937_64 generator(random);
    std::uniform_int_distribution<Duration::rep> between(whole.count() / 2, whole.count());
    return Duration(between(generator));
}

} // namespace fescuepond
