// Concurrency windows for root requests, one for each path, at the node where the requests enter.
//
// A call that is queued at a downstream service holds a slot at each service upstream of it. Root requests of a kind
// are therefore admitted only as far as the services on their path can run them, plus a few that queue downstream, so
// that a slot that becomes free there is filled at once. Requests on other paths then find free slots at the entry
// service.
//
// Every answer reports the headroom of its path: how many slots the bottleneck service of the path has for each call of
// the kind that is there. With w calls in flight, w * (1 - headroom) of them are queued downstream; the window is
// adjusted so that a few are. As every caller of a bottleneck service keeps only a few calls queued there, their
// windows become equal without messages between the callers.

#pragma once

#include "servers/admission/admissionqueue.h"
#include "servers/admission/drainestimate.h"
#include "servers/admission/servicetimes.h"
#include "servers/pathlimit/pathshare.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace fescuepond
{

/// Identifies a path by the entry service and the kind of its root requests.
class PathKey
{
    FESCUEPOND_FIELD(std::string, service, withService);
    FESCUEPOND_FIELD(std::string, kind, withKind);

public:
    friend auto operator<=>(const PathKey &, const PathKey &) = default;
};

/// The window, in calls, of a path whose capacity isn't known yet.
constexpr double InitialWindow = 256;

/// How many calls of one path may be in flight.
class PathWindow
{
public:
    double size() const
    {
        return m_size;
    }
    /// Adjusts the window to the headroom that an answer reported. `inFlight` counts the answered call too.
    void update(double headroom, std::size_t inFlight);

private:
    double m_size = InitialWindow; ///< At least 1.
    double m_headroom = 1; ///< Moving average.
};

/// Whether a request may be refused by the share of its path.
enum class ShareLimit {
    Applies,
    None,
};

struct PathRules {
    QueueRules queue;
    /// Rejects requests with less time left than the minimum service time of their path.
    bool rejectUnmeetable = true;
    /// Admits only a share of the requests of a path without headroom.
    bool limitShare = true;
};

/// The windows and queues of all paths that enter at this node. Each submitted request gets exactly one decision,
/// returned by its submit() or by a later submit(), finished() or expire().
class PathLimiter
{
public:
    explicit PathLimiter(PathRules rules);

    AdmissionDecisions submit(const PathKey &path, const AdmissionEntry &entry, ShareLimit shareLimit, TimePoint now);
    /// Removes an admitted call, adjusts the window of its path, and admits queued calls. `headroom` is 0 if the answer
    /// reported none; `serviceTime` is unset unless the call was answered.
    AdmissionDecisions
    finished(const PathKey &path, EntryId id, double headroom, std::optional<Duration> serviceTime, TimePoint now);
    /// Rejects the queued calls that can no longer meet their deadline.
    AdmissionDecisions expire(TimePoint now);
    std::optional<TimePoint> nextExpiry() const;

    /// Estimated time until a request of the path that is sent again will be admitted.
    Duration retryAfter(const PathKey &path, TimePoint now) const;
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
        PathShare m_share;
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
