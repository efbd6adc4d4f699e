// The limit of each path at the place where root requests enter.
//
// A call that waits below holds its slots above. So root requests of a kind are let in only as far as the services
// down their path can hold them, and a little more, so that a slot that frees below is taken at once. Requests that
// use other paths find the slots of the entry service free.
//
// Every answer says how many slots the narrowest service on its path has for each call of the kind that is there (the
// room). With w calls under way, w * (1 - room) of them wait; the window moves so that a few wait. Many callers of one
// narrow service each keep a few waiting there, and so come to equal windows without messages of their own.

#pragma once

#include "servers/admission/admissionqueue.h"
#include "servers/admission/drainestimate.h"
#include "servers/admission/servicetimes.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace fescuepond
{

/// Root requests of one kind at one service.
class PathKey
{
    FESCUEPOND_FIELD(std::string, service, withService);
    FESCUEPOND_FIELD(std::string, kind, withKind);

public:
    friend auto operator<=>(const PathKey &, const PathKey &) = default;
};

/// The window, in calls, of a path that nothing has shown to be narrow.
constexpr double InitialWindow = 256;

/// How many calls of one path may be under way.
class PathWindow
{
public:
    double size() const
    {
        return m_size;
    }
    /// An answer told the room on its path; `underWay` calls of the path, the answered one included.
    void update(double headroom, std::size_t inFlight);

private:
    double m_size = InitialWindow; ///< At least 1.
    double m_headroom = 1; ///< Moving average.
};

struct PathRules {
    QueueRules queue;
    bool rejectUnmeetable = true;
};

/// The windows and queues of all paths that start here. Every submission gets exactly one decision.
class PathLimiter
{
public:
    explicit PathLimiter(PathRules rules);

    AdmissionDecisions submit(const PathKey &path, const AdmissionEntry &entry, TimePoint now);
    /// A call that was let in has ended. `room` is 0 when the answer didn't say it; `taken` is nothing unless it was
    /// answered.
    AdmissionDecisions
    finished(const PathKey &path, EntryId id, double headroom, std::optional<Duration> serviceTime, TimePoint now);
    AdmissionDecisions expire(TimePoint now);
    std::optional<TimePoint> nextExpiry() const;

    /// How long it takes until what waits on the path now has been let in.
    Duration drainTime(const PathKey &path) const;
    double windowOf(const PathKey &path) const;
    std::size_t queued() const;
    std::size_t inFlight() const;

private:
    struct Path {
        explicit Path(QueueRules rules)
            : m_queue(rules)
        {
        }
        PathWindow m_window;
        AdmissionQueue m_queue;
        DurationHistogram m_serviceTimes;
        DrainEstimate m_drain;
    };

    Path &pathOf(const PathKey &path);
    static void rejectExpired(Path &path, AdmissionDecisions &decisions, TimePoint now);
    static void admitWaiting(Path &path, AdmissionDecisions &decisions);

    const PathRules m_rules;
    std::map<PathKey, Path> m_paths; ///< One for each declared kind whose requests have entered here.
};

} // namespace fescuepond
