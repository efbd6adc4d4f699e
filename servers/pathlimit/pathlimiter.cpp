// The limit of each path at the place where root requests enter.

#include "servers/pathlimit/pathlimiter.h"

#include <algorithm>
#include <cmath>

namespace fescuepond
{

namespace
{
constexpr double LeastWindow = 1; ///< Calls.
constexpr double WaitingBelow = 0.5; ///< Calls kept waiting below, for the square root of the window.
constexpr double Gain = 0.5; ///< Part of the way to the wanted window in one round trip.
constexpr double SmoothedAnswers = 16; ///< Over which the room is averaged.
constexpr double SharpFallFactor = 3; ///< When more than so many times the wanted calls wait, the window falls at once.
constexpr double FastGrowthPart = 0.25; ///< Of the wanted calls that wait; with fewer the window grows fast.
constexpr double GrowthForEachAnswer = 0.5; ///< Calls, while hardly any wait below.
constexpr double Headroom = 2; ///< Greatest window for each call under way.
constexpr double FewestPlaces = 16;
constexpr double PlacesForEachCall = 1;
constexpr double LikelyQuantile = 0.1;
} // namespace

void PathWindow::answered(double room, std::size_t underWay)
{
    const double used = static_cast<double>(underWay);
    // Smoothed, or a queue that is empty for a moment would look like room for many more.
    m_room += (room - m_room) / SmoothedAnswers;
    const double wanted = WaitingBelow * std::sqrt(std::max(1.0, std::min(m_size, used)));
    const double waiting = std::min(m_size, used) * (1 - m_room);
    if (waiting < wanted * FastGrowthPart) {
        // An unused window doesn't grow, or a later flood would come in at once.
        const double bound = std::max(m_size, Headroom * used + OpenWindow);
        m_size = std::min(m_size + GrowthForEachAnswer, bound);
        return;
    }
    const double held = used * m_room;
    if (used - held > wanted * SharpFallFactor) {
        m_size = std::min(m_size, held + wanted);
    }
    m_size += Gain * (wanted - waiting) / m_size;
    m_size = std::max(LeastWindow, m_size);
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
    const Duration likely = m_rules.refuseDoomed ? path.m_times.quantile(LikelyQuantile) : Duration{};
    const TimePoint leaveAt = entry.deadline() - likely;
    if (leaveAt <= now) {
        return {AdmissionDecision().withId(entry.id()).withRefusal(Reason::DeadlineExceeded)};
    }
    AdmissionDecisions decisions;
    refuseDue(path, decisions, now);
    const double places = std::max(FewestPlaces, PlacesForEachCall * path.m_window.size());
    if (const auto refused =
            path.m_queue.push(entry, leaveAt, static_cast<std::size_t>(places), path.m_window.size())) {
        decisions.push_back(AdmissionDecision().withId(refused->id()).withRefusal(Reason::Overload));
    }
    takeFree(path, decisions);
    return decisions;
}

AdmissionDecisions
PathLimiter::finished(const PathKey &key, EntryId id, double room, std::optional<Duration> taken, TimePoint now)
{
    Path &path = pathOf(key);
    if (room > 0) {
        path.m_window.answered(room, path.m_queue.running());
    }
    if (taken) {
        path.m_times.add(*taken);
        path.m_drain.add(*taken);
    }
    path.m_queue.finish(id);
    AdmissionDecisions decisions;
    refuseDue(path, decisions, now);
    takeFree(path, decisions);
    return decisions;
}

AdmissionDecisions PathLimiter::expire(TimePoint now)
{
    AdmissionDecisions decisions;
    for (auto &[key, path] : m_paths) {
        refuseDue(path, decisions, now);
        takeFree(path, decisions);
    }
    return decisions;
}

std::optional<TimePoint> PathLimiter::nextExpiry() const
{
    std::optional<TimePoint> earliest;
    for (const auto &[key, path] : m_paths) {
        const auto leaving = path.m_queue.nextLeaving();
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
    return known.m_drain.timeFor(known.m_queue.queued(), known.m_window.size());
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

std::size_t PathLimiter::underWay() const
{
    std::size_t sum = 0;
    for (const auto &[key, path] : m_paths) {
        sum += path.m_queue.running();
    }
    return sum;
}

void PathLimiter::refuseDue(Path &path, AdmissionDecisions &decisions, TimePoint now)
{
    for (const AdmissionEntry &entry : path.m_queue.removeDue(now)) {
        decisions.push_back(AdmissionDecision().withId(entry.id()).withRefusal(Reason::DeadlineExceeded));
    }
}

void PathLimiter::takeFree(Path &path, AdmissionDecisions &decisions)
{
    while (const auto entry = path.m_queue.take(std::max(LeastWindow, path.m_window.size()))) {
        decisions.push_back(AdmissionDecision().withId(entry->id()));
    }
}

} // namespace fescuepond
