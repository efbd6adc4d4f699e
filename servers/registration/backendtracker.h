// The state of the backend server beside a node, as tracked from its reports, and whether calls may be sent to it.
//
// A report is accepted if it is of a later instance (a later start of the backend server), or of the same instance with
// a higher sequence number; a stale one, such as one delayed by a partition, is ignored. An instance that has reported
// that it is draining stays draining, whatever it reports later. An instance that has deregistered is gone for this
// node, also if the process that acknowledged it had just started and knew nothing of it.

#pragma once

#include "core/values/backendnotice.h"
#include "core/values/backendreport.h"
#include "servers/registration/departures.h"

#include <compare>
#include <string>

namespace fescuepond
{

/// Timeouts derived from the settings.
class BackendTimeouts
{
    /// A backend server without a report for this time is considered silent.
    FESCUEPOND_FIELD(Duration, silenceTimeout, withSilenceTimeout);
    /// Calls that arrive later than this after the start of draining are rejected. By then their senders know that the
    /// backend server is draining, unless a partition separates them.
    FESCUEPOND_FIELD(Duration, drainGrace, withDrainGrace);
    /// No call is passed to the backend server later than this after the start of draining. Shorter than the time for
    /// which a draining backend server is guaranteed to accept work.
    FESCUEPOND_FIELD(Duration, drainLimit, withDrainLimit);

public:
    /// `drain`: time for which a draining backend server accepts work. `reportInterval`: usual time between two
    /// reports, each of which may be seconds late.
    static BackendTimeouts from(Duration drain, Duration reportInterval);
    friend auto operator<=>(const BackendTimeouts &, const BackendTimeouts &) = default;
};

class BackendTracker
{
    FESCUEPOND_FIELD(BackendTimeouts, timeouts, withTimeouts);
    FESCUEPOND_FIELD(BackendReport, report, withReport); ///< The latest accepted one.
    FESCUEPOND_FIELD(TimePoint, lastReportAt, withLastReportAt);
    FESCUEPOND_FIELD(TimePoint, drainingSince, withDrainingSince); ///< Of the latest instance; zero if not draining.
    FESCUEPOND_FIELD(double, rate, withRate); ///< Calls a second that the latest instance takes; 0: no limit.
    /// When the latest instance answered last; zero: not yet.
    FESCUEPOND_FIELD(TimePoint, lastAnswerAt, withLastAnswerAt);
    FESCUEPOND_FIELD(TimePoint, rateNamedAt, withRateNamedAt); ///< When an answer named the rate last.
    FESCUEPOND_FIELD(Departures, departures, withDepartures); ///< Acknowledged, of the known instance and of others.

public:
    BackendState state(TimePoint now) const;
    /// Whether other nodes may send calls to this one.
    bool isServing(TimePoint now) const
    {
        return state(now) == BackendState::Ready;
    }
    /// Whether a call that arrives now is accepted.
    bool acceptsCalls(TimePoint now) const;
    /// Whether a call may be passed to the backend server now.
    bool canStart(TimePoint now) const;
    /// For the nodes that send calls to this one.
    BackendNotice notice() const;
    friend auto operator<=>(const BackendTracker &, const BackendTracker &) = default;
};

enum class ReportVerdict {
    Accepted,
    Stale, ///< Older than a report that was accepted, or than a departure that was acknowledged.
    Foreign, ///< Of another service, or, for afterDeregistration(), of an instance that isn't the known one.
};

const char *toString(ReportVerdict verdict);

struct TrackerUpdate {
    BackendTracker tracker;
    ReportVerdict verdict;
};

/// The state after a report to a node of `service`. If the first report says that the instance drains, it may have said
/// so long ago to an earlier process of this node, so no call is passed to it.
TrackerUpdate
afterReport(const BackendTracker &known, const BackendReport &report, const std::string &service, TimePoint now);

/// The state after the backend server has deregistered, which starts draining like a report does if `instance` is the
/// known one. The departure is remembered in any case. `wallClockMs` is the wall-clock time of `now`.
TrackerUpdate
afterDeregistration(const BackendTracker &known, const std::string &instance, TimePoint now, std::uint64_t wallClockMs);

/// An answer of an instance. A limit ends with the first answer without one to a call that was sent after the limit was
/// named last: answers can overtake each other. An instance that is leaving starts draining as if it had reported so.
BackendTracker afterAnswer(const BackendTracker &known,
                           const std::string &instance,
                           const BackendNotice &notice,
                           TimePoint sentAt,
                           TimePoint now);

/// A notice that another node knows. It counts until the backend server has answered a call of this node. An instance
/// that is leaving gets no further call: it may have said so long ago.
BackendTracker afterReceivedNotice(const BackendTracker &known, const BackendNotice &notice, TimePoint now);

} // namespace fescuepond
