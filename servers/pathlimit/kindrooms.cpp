// Learns which kinds of calls make which others, and keeps the room that the latter were told.

#include "servers/pathlimit/kindrooms.h"

#include <algorithm>

namespace fescuepond
{

namespace
{
/// A server error that follows a child's failure within this time may be its consequence.
constexpr Duration FailureLife = std::chrono::milliseconds(20);
constexpr std::size_t MostFailures = 256; ///< Kept, of those that no server error has followed.
constexpr double SmoothedAnswers = 8; ///< Over which the room is averaged.
/// What was told of the room counts for so long.
constexpr Duration RoomLife = std::chrono::seconds(2);
/// A kind counts as a caller after so many failures that its server errors followed, if they are such a part of all
/// failures of the child kind. The part leaves room for three callers of one kind.
constexpr double FewestConsequences = 3;
constexpr double LeastPart = 0.3;
constexpr double MostCounted = 64; ///< Failures, after which all counts are halved.
constexpr double ForgottenPart = 0.5;
} // namespace

void KindRooms::childEnded(const std::string &childKind, double room, bool isFailed, TimePoint now)
{
    Child &child = m_children[childKind];
    if (room > 0) {
        const bool isFresh = child.m_room > 0 && now - child.m_toldAt < RoomLife;
        child.m_room = isFresh ? child.m_room + (room - child.m_room) / SmoothedAnswers : room;
        child.m_toldAt = now;
    }
    if (!isFailed) {
        return;
    }
    if (m_failures.size() == MostFailures) {
        m_failures.pop_front();
    }
    m_failures.push_back({childKind, now});
    ++child.m_failures;
    if (child.m_failures < MostCounted) {
        return;
    }
    child.m_failures *= ForgottenPart;
    for (auto &[parent, count] : child.m_parents) {
        count *= ForgottenPart;
    }
}

bool KindRooms::parentFailed(const std::string &kind, TimePoint now)
{
    while (!m_failures.empty() && now - m_failures.front().m_at > FailureLife) {
        m_failures.pop_front();
    }
    if (m_failures.empty()) {
        return false;
    }
    // A backend server answers at once, so the newest failure is the likeliest cause.
    const Failure cause = m_failures.back();
    m_failures.pop_back();
    Child &child = m_children[cause.m_childKind];
    double &count = child.m_parents[kind];
    count = std::min(count + 1, child.m_failures);
    return isParent(child, kind);
}

double KindRooms::roomFor(const std::string &kind, TimePoint now) const
{
    double least = 0;
    for (const auto &[childKind, child] : m_children) {
        const bool isTold = child.m_room > 0 && now - child.m_toldAt < RoomLife;
        if (isTold && isParent(child, kind)) {
            least = least > 0 ? std::min(least, child.m_room) : child.m_room;
        }
    }
    return least;
}

bool KindRooms::isParent(const Child &child, const std::string &kind)
{
    const auto found = child.m_parents.find(kind);
    return found != child.m_parents.end() && found->second >= FewestConsequences
        && found->second >= LeastPart * child.m_failures;
}

} // namespace fescuepond
