// Infers which kinds of calls make which others, and keeps the path headroom reported for the latter.

#include "servers/pathlimit/headroombykind.h"

#include <algorithm>

namespace fescuepond
{

namespace
{
/// A server error that follows a child's failure within this time may be its consequence.
constexpr Duration AttributionWindow = std::chrono::milliseconds(20);
constexpr std::size_t MaxPendingFailures = 256;
constexpr double SmoothingSamples = 8; ///< Answers over which the headroom is averaged.
constexpr Duration HeadroomMaxAge = std::chrono::seconds(2); ///< An older report is ignored.
/// A kind counts as a parent kind if its server errors followed at least this many failures of the child kind, and at
/// least this fraction of them all. The fraction permits three parent kinds of one child kind.
constexpr double MinAttributedFailures = 3;
constexpr double MinAttributedRatio = 0.3;
constexpr double MaxCountedFailures = 64; ///< All counts of a child kind decay when its failures reach this number.
constexpr double DecayFactor = 0.5;
} // namespace

void HeadroomByKind::childCompleted(const std::string &childKind, double headroom, bool isFailed, TimePoint now)
{
    ChildKind &child = m_children[childKind];
    if (headroom > 0) {
        const bool isFresh = child.m_headroom > 0 && now - child.m_updatedAt < HeadroomMaxAge;
        child.m_headroom = isFresh ? child.m_headroom + (headroom - child.m_headroom) / SmoothingSamples : headroom;
        child.m_updatedAt = now;
    }
    if (!isFailed) {
        return;
    }
    if (m_failures.size() == MaxPendingFailures) {
        m_failures.pop_front();
    }
    m_failures.push_back({childKind, now});
    ++child.m_failures;
    if (child.m_failures < MaxCountedFailures) {
        return;
    }
    child.m_failures *= DecayFactor;
    for (auto &[parent, count] : child.m_failuresByParent) {
        count *= DecayFactor;
    }
}

bool HeadroomByKind::attributeServerError(const std::string &kind, TimePoint now)
{
    while (!m_failures.empty() && now - m_failures.front().m_at > AttributionWindow) {
        m_failures.pop_front();
    }
    if (m_failures.empty()) {
        return false;
    }
    // A backend server answers right after the failed call, so the latest failure is the most likely cause.
    const Failure cause = m_failures.back();
    m_failures.pop_back();
    ChildKind &child = m_children[cause.m_childKind];
    double &count = child.m_failuresByParent[kind];
    count = std::min(count + 1, child.m_failures);
    return isParentKind(child, kind);
}

double HeadroomByKind::headroomFor(const std::string &kind, TimePoint now) const
{
    double least = 0;
    for (const auto &[childKind, child] : m_children) {
        const bool isFresh = child.m_headroom > 0 && now - child.m_updatedAt < HeadroomMaxAge;
        if (isFresh && isParentKind(child, kind)) {
            least = least > 0 ? std::min(least, child.m_headroom) : child.m_headroom;
        }
    }
    return least;
}

bool HeadroomByKind::isParentKind(const ChildKind &child, const std::string &kind)
{
    const auto found = child.m_failuresByParent.find(kind);
    return found != child.m_failuresByParent.end() && found->second >= MinAttributedFailures
        && found->second >= MinAttributedRatio * child.m_failures;
}

} // namespace fescuepond
