// The state of the backend server beside a node, as tracked from its reports, and whether calls may be sent to it.
//
// A report is accepted if it is of a later instance (a later start of the backend server), or of the same instance with
// a higher sequence number; a stale one, such as one delayed by a partition, is ignored. An instance that has reported
// that it is draining stays draining, whatever it reports later. An instance that has deregistered is gone for this
// node, also if the process that acknowledged it had just started and knew nothing of it.
//
// Earlier processes of this node may have acknowledged departures that this one doesn't know. Until it has read them
// from the platform's store, a report may be one that was sent before a departure and has arrived late. It makes an
// instance serve only if that seems to have started after this process, or goes on reporting: late reports are few.

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
    /// Time over which an instance has to go on reporting before it is believed without the store.
    FESCUEPOND_FIELD(Duration, confirmationTime, withConfirmationTime);

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
    FESCUEPOND_FIELD(KnownDepartures, departures, withDepartures); ///< Of the known instance and of others.
    /// Earlier processes of this node may have acknowledged departures that aren't known yet.
    FESCUEPOND_FIELD(bool, awaitsDepartures, withAwaitsDepartures);
    /// Wall-clock time. Earlier processes didn't know an instance that started later.
    FESCUEPOND_FIELD(std::uint64_t, processStartedAtMs, withProcessStartedAtMs);
    FESCUEPOND_FIELD(TimePoint, firstReportAt, withFirstReportAt); ///< Of the latest instance.
    FESCUEPOND_FIELD(std::uint64_t, firstSequence, withFirstSequence); ///< Of the latest instance's first report.
    FESCUEPOND_FIELD(int, reportCount, withReportCount); ///< Accepted reports of the latest instance.

public:
    BackendState state(TimePoint now) const;
    /// Whether the latest instance may be sent calls as far as departures go that aren't known yet.
    bool isConfirmed() const;
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

/// Reports of one instance that arrive late, at most, between its departure and its end. One more confirms it.
constexpr int MaxLateReports = 2;
/// The sequence numbers of a start begin anew. A process hears a start that is later than its own from its first report
/// on, or the second if that one is lost.
constexpr std::uint64_t MaxFirstSequence = 2;

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

/// The state after a report to a node of `service`. That an instance drains counts even if the report is stale, since
/// it is acknowledged. If the first report of an instance says so, it may have said so long ago to an earlier process
/// of this node, so no call is passed to it.
TrackerUpdate
afterReport(const BackendTracker &known, const BackendReport &report, const std::string &service, TimePoint now);

/// The state once the departures that earlier processes of this node acknowledged are known. May be called again.
BackendTracker afterRecovery(const BackendTracker &known, const Departures &earlier, TimePoint now);

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

/// A notice that another node knows. Its rate counts until the backend server has answered a call of this node. An
/// instance that is leaving gets no further call, also if it reports only later: it may have said so long ago.
BackendTracker afterReceivedNotice(const BackendTracker &known, const BackendNotice &notice, TimePoint now);

} // namespace fescuepond
