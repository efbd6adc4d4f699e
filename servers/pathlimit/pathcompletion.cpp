// Whether the requests of one path still end well, as their entry node sees it.

#include "servers/pathlimit/pathcompletion.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace fescuepond
{

namespace
{
/// Requests that are still admitted show when the path has recovered.
constexpr double MinShare = 0.1;
/// With one request in so many that completes, the share stays as it is.
constexpr double RequestsPerCompletion = 8;
constexpr double GrowthOfCompletion = 4;
/// Undoes the growth of one completion in RequestsPerCompletion - 1 steps.
const double factorOfWaste = std::pow(GrowthOfCompletion, -1 / (RequestsPerCompletion - 1));
/// Without any end, what was learnt is of less and less use.
constexpr Duration QuietTime = std::chrono::seconds(5);
constexpr double GrowthOfQuietTime = 4;
constexpr Duration RetryAfter = std::chrono::seconds(1);
} // namespace

PathEnd pathEndOf(const CallOutcome &outcome)
{
    if (isSuccess(outcome)) {
        return PathEnd::Completed;
    }
    return isServerError(outcome) ? PathEnd::Wasted : PathEnd::Inconclusive;
}

double PathCompletion::creditAt(TimePoint now) const
{
    const std::chrono::duration<double> quiet = std::max(now - m_changedAt, Duration::zero());
    return std::min(MaxCredit, m_credit * std::pow(GrowthOfQuietTime, quiet / QuietTime));
}

double PathCompletion::share(TimePoint now) const
{
    return std::min(1.0, creditAt(now));
}

bool PathCompletion::admits(std::uint64_t hash, TimePoint now)
{
    const double credit = creditAt(now);
    const bool isAdmitted = credit >= 1 || now - m_admittedAt >= ProbeInterval
        || static_cast<double>(hash) < credit * static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    if (isAdmitted) {
        m_admittedAt = now;
    }
    return isAdmitted;
}

void PathCompletion::ended(PathEnd end, TimePoint now)
{
    if (end == PathEnd::Inconclusive) {
        return;
    }
    const double factor = end == PathEnd::Completed ? GrowthOfCompletion : factorOfWaste;
    m_credit = std::clamp(creditAt(now) * factor, MinShare, MaxCredit);
    m_changedAt = now;
}

Duration PathCompletion::retryAfter(TimePoint now) const
{
    return creditAt(now) >= 1 ? Duration::zero() : Duration(RetryAfter);
}

} // namespace fescuepond
