// The limit of each path at the place where root requests enter.

#include "servers/pathlimit/pathlimiter.h"

#include <algorithm>
#include <cmath>

namespace fescuepond
{

namespace
{
constexpr double MinWindow = 1; ///< Calls.
constexpr double QueuedPerSqrtWindow = 0.5; ///< Calls kept waiting below, for the square root of the window.
constexpr double Gain = 0.5; ///< Part of the way to the wanted window in one round trip.
constexpr double SmoothingSamples = 16; ///< Over which the room is averaged.
constexpr double ImmediateCutRatio =
    3; ///< When more than so many times the wanted calls wait, the window falls at once.
constexpr double FastGrowthRatio = 0.25; ///< Of the wanted calls that wait; with fewer the window grows fast.
constexpr double GrowthPerAnswer = 0.5; ///< Calls, while hardly any wait below.
constexpr double MaxWindowPerCallInFlight = 2; ///< Greatest window for each call under way.
constexpr double MinQueueCapacity = 16;
constexpr double QueueCapacityPerCall = 1;
constexpr double MinServiceTimeQuantile = 0.1;
} // namespace

void PathWindow::update(double headroom, std::size_t inFlight)
{
    const double used = static_cast<double>(inFlight);
    // Smoothed, or a queue that is empty for a moment would look like room for many more.
    m_headroom += (headroom - m_headroom) / SmoothingSamples;
    const double wanted = QueuedPerSqrtWindow * std::sqrt(std::max(1.0, std::min(m_size, used)));
    const double waiting = std::min(m_size, used) * (1 - m_headroom);
    if (waiting < wanted * FastGrowthRatio) {
        // An unused window doesn't grow, or a later flood would come in at once.
        const double bound = std::max(m_size, MaxWindowPerCallInFlight * used + InitialWindow);
        m_size = std::min(m_size + GrowthPerAnswer, bound);
        return;
    }
    const double held = used * m_headroom;
    if (used - held > wanted * ImmediateCutRatio) {
        m_size = std::min(m_size, held + wanted);
    }
    m_size += Gain * (wanted - waiting) / m_size;
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

AdmissionDecisions PathLimiter::submit(const PathKey &key, const AdmissionEntry &entry, TimePoint now)
{
    Path &path = pathOf(key);
    const Duration minServiceTime =
        m_rules.rejectUnmeetable ? path.m_serviceTimes.quantile(MinServiceTimeQuantile) : Duration{};
    const TimePoint expiresAt = entry.deadline() - minServiceTime;
    if (expiresAt <= now) {
        return {AdmissionDecision().withId(entry.id()).withRejection(Reason::DeadlineExceeded)};
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
        const auto leaving = path.m_queue.nextExpiry();
        if (leaving && (!earliest || *leaving < *earliest)) {
            earliest = leaving;
        }
    }
    return earliest;
}

Duration PathLimiter::drainTime(const PathKey &path) const
{
    const auto found = m_paths.find(path);
    if (found == m_paths.end()) {
        return Duration::zero();
    }
    const Path &known = found->second;
    return known.m_drain.drainTime(known.m_queue.queued(), known.m_window.size());
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
