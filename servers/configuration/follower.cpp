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

/// A pull that has brought nothing after this time may be tried with another peer.
constexpr Duration PullTimeout = std::chrono::seconds(2);
constexpr Duration FirstRetryPause = std::chrono::milliseconds(250);
constexpr Duration LongestRetryPause = std::chrono::seconds(10);
constexpr unsigned MostDoublings = 6;

/// The place of a member in the order by which watchers are chosen.
std::uint64_t watcherOrder(const std::string &name)
{
    return XXH3_64bits(name.data(), name.size());
}

} // namespace

bool isWatcher(const Members &members, const Member &self)
{
    const std::uint64_t own = watcherOrder(self.name());
    const auto isBefore = [&](const Member &member) {
        const bool isCandidate = member.zone() == self.zone() && member.region() == self.region()
            && member.state() == MemberState::Alive && member.name() != self.name();
        return isCandidate && watcherOrder(member.name()) < own;
    };
    const auto before = static_cast<std::size_t>(std::count_if(members.begin(), members.end(), isBefore));
    return before < WatchersPerZone;
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

FollowerStep versionSeen(const FollowerState &state, ObjectVersion version, TimePoint now)
{
    const bool isNews = version > state.held();
    const bool isUnderWay = version <= state.pulling() && now < state.pullUntil();
    if (!isNews || isUnderWay) {
        return FollowerStep().withState(state).withPull(false);
    }
    return FollowerStep().withState(state.withPulling(version).withPullUntil(now + PullTimeout)).withPull(true);
}

FollowerState pullEnded(const FollowerState &state, ObjectVersion version)
{
    return state.pulling() == version ? state.withPulling(0) : state;
}

std::optional<FollowerState> advanced(const FollowerState &state, ObjectVersion version)
{
    if (version <= state.held()) {
        return std::nullopt;
    }
    const FollowerState next = state.withHeld(version);
    // Invariant: what is in force never reverts.
    if (next.held() <= state.held()) {
        std::abort();
    }
    return next;
}

Duration retryPause(unsigned failures, std::uint64_t random)
{
    const unsigned doublings = std::min(failures == 0 ? 0U : failures - 1, MostDoublings);
    const Duration whole = std::min<Duration>(FirstRetryPause * (1LL << doublings), LongestRetryPause);
    std::mt19937_64 generator(random);
    std::uniform_int_distribution<Duration::rep> between(whole.count() / 2, whole.count());
    return Duration(between(generator));
}

} // namespace fescuepond
