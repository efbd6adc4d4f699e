// Concurrency windows for root requests, one for each path, at the node where the requests enter.

#include "servers/pathlimit/pathlimiter.h"

#include <algorithm>
#include <cmath>

namespace fescuepond
{

namespace
{
constexpr double MinWindow = 1; ///< Calls.
/// Target number of calls queued downstream, as a multiple of the square root of the calls in flight.
constexpr double QueuedPerSqrtWindow = 0.5;
constexpr double Gain = 0.5; ///< Fraction of the difference to the target that is corrected in one round trip.
constexpr double SmoothingSamples = 16; ///< Answers over which the headroom is averaged.
/// With more than this multiple of the target queued downstream, the window is cut in one step.
constexpr double ImmediateCutRatio = 3;
/// With less than this fraction of the target queued downstream, the window grows by GrowthPerAnswer.
constexpr double FastGrowthQueueRatio = 0.25;
constexpr double GrowthPerAnswer = 0.5; ///< Calls.
constexpr double MaxWindowPerCallInFlight = 2; ///< Bounds growth, with InitialWindow added.
constexpr double MinQueueCapacity = 16; ///< Requests queued on one path.
constexpr double QueueCapacityPerCall = 1; ///< For each call of the window.
constexpr double MinServiceTimeQuantile = 0.1;
} // namespace

void PathWindow::update(double headroom, std::size_t inFlight)
{
    const double callsInFlight = static_cast<double>(inFlight);
    // Smoothed because a downstream queue that is empty for a moment would look like ample capacity.
    m_headroom += (headroom - m_headroom) / SmoothingSamples;
    const double queueTarget = QueuedPerSqrtWindow * std::sqrt(std::max(1.0, std::min(m_size, callsInFlight)));
    const double queuedDownstream = std::min(m_size, callsInFlight) * (1 - m_headroom);
    if (queuedDownstream < queueTarget * FastGrowthQueueRatio) {
        // A window that isn't used doesn't grow; otherwise a later burst would be admitted all at once.
        const double bound = std::max(m_size, MaxWindowPerCallInFlight * callsInFlight + InitialWindow);
        m_size = std::min(m_size + GrowthPerAnswer, bound);
        return;
    }
    const double runningDownstream = callsInFlight * m_headroom;
    if (callsInFlight - runningDownstream > queueTarget * ImmediateCutRatio) {
        m_size = std::min(m_size, runningDownstream + queueTarget);
    }
    m_size += Gain * (queueTarget - queuedDownstream) / m_size;
    m_size = std::max(MinWindow, m_size);
}

PathLimiter::PathLimiter(PathRules rules)
    : m_rules(rules)
{
}

PathLimiter::Path &PathLimiter::pathOf(const PathKey &path)
{
    return m_paths.try_emplace(path, m_rules.queue).first->second;
}

AdmissionDecisions
PathLimiter::submit(const PathKey &key, const AdmissionEntry &entry, ShareLimit shareLimit, TimePoint now)
{
    Path &path = pathOf(key);
    const Duration minServiceTime =
        m_rules.rejectUnmeetable ? path.m_serviceTimes.quantile(MinServiceTimeQuantile) : Duration{};
    const TimePoint expiresAt = entry.deadline() - minServiceTime;
    if (expiresAt <= now) {
        return {AdmissionDecision().withId(entry.id()).withRejection(Reason::DeadlineExceeded)};
    }
    const bool isLimited = m_rules.limitShare && shareLimit == ShareLimit::Applies;
    if (isLimited && !path.m_share.admits(entry.order().rootHash(), now)) {
        return {AdmissionDecision().withId(entry.id()).withRejection(Reason::Overload)};
    }
    AdmissionDecisions decisions;
    rejectExpired(path, decisions, now);
    const double capacity = std::max(MinQueueCapacity, QueueCapacityPerCall * path.m_window.size());
    if (const auto rejected =
            path.m_queue.push(entry, expiresAt, static_cast<std::size_t>(capacity), path.m_window.size())) {
        decisions.push_back(AdmissionDecision().withId(rejected->id()).withRejection(Reason::Overload));
    }
    admitWaiting(path, decisions);
    return decisions;
}

AdmissionDecisions PathLimiter::finished(const PathKey &key,
                                         EntryId id,
                                         double headroom,
                                         std::optional<Duration> serviceTime,
                                         TimePoint now)
{
    Path &path = pathOf(key);
    if (headroom > 0) {
        path.m_window.update(headroom, path.m_queue.running());
        path.m_share.update(headroom, now);
    }
    if (serviceTime) {
        path.m_serviceTimes.add(*serviceTime);
        path.m_drain.add(*serviceTime);
    }
    path.m_queue.finish(id);
    AdmissionDecisions decisions;
    rejectExpired(path, decisions, now);
    admitWaiting(path, decisions);
    return decisions;
}

AdmissionDecisions PathLimiter::expire(TimePoint now)
{
    AdmissionDecisions decisions;
    for (auto &[key, path] : m_paths) {
        rejectExpired(path, decisions, now);
        admitWaiting(path, decisions);
    }
    return decisions;
}

std::optional<TimePoint> PathLimiter::nextExpiry() const
{
    std::optional<TimePoint> earliest;
    for (const auto &[key, path] : m_paths) {
        const auto expiry = path.m_queue.nextExpiry();
        if (expiry && (!earliest || *expiry < *earliest)) {
            earliest = expiry;
        }
    }
    return earliest;
}

Duration PathLimiter::retryAfter(const PathKey &path, TimePoint now) const
{
    const auto found = m_paths.find(path);
    if (found == m_paths.end()) {
        return Duration::zero();
    }
    const Path &known = found->second;
    return std::max(known.m_drain.drainTime(known.m_queue.queued(), known.m_window.size()),
                    known.m_share.retryAfter(now));
}

double PathLimiter::windowOf(const PathKey &path) const
{
    const auto found = m_paths.find(path);
    return found == m_paths.end() ? 0 : found->second.m_window.size();
}

std::size_t PathLimiter::queued() const
{
    std::size_t sum = 0;
    for (const auto &[key, path] : m_paths) {
        sum += path.m_queue.queued();
    }
    return sum;
}

std::size_t PathLimiter::inFlight() const
{
    std::size_t sum = 0;
    for (const auto &[key, path] : m_paths) {
        sum += path.m_queue.running();
    }
    return sum;
}

void PathLimiter::rejectExpired(Path &path, AdmissionDecisions &decisions, TimePoint now)
{
    for (const AdmissionEntry &entry : path.m_queue.removeExpired(now)) {
        decisions.push_back(AdmissionDecision().withId(entry.id()).withRejection(Reason::DeadlineExceeded));
    }
}

void PathLimiter::admitWaiting(Path &path, AdmissionDecisions &decisions)
{
    while (const auto entry = path.m_queue.admitNext(std::max(MinWindow, path.m_window.size()))) {
        decisions.push_back(AdmissionDecision().withId(entry->id()));
    }
}

} // namespace fescuepond
