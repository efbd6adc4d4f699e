// The tracked state of the backend server beside a node.

#include "servers/registration/backendtracker.h"

#include <array>
#include <tuple>

namespace fescuepond
{

namespace
{

bool isSameInstance(const BackendReport &a, const BackendReport &b)
{
    return a.instance() == b.instance() && a.startedAtMs() == b.startedAtMs();
}

/// Orders reports of one instance by sequence number, and instances by their start time. The order by start time is
/// wrong if the wall clock was set back between two starts, so afterReport() doesn't require it once the known instance
/// is silent.
bool isLater(const BackendReport &candidate, const BackendReport &known)
{
    if (isSameInstance(candidate, known)) {
        return candidate.sequence() > known.sequence();
    }
    return candidate.startedAtMs() > known.startedAtMs();
}

constexpr int DrainGraceDivisor = 4; ///< Of the time for which a draining backend server accepts work.
/// Fraction of the same time; the rest allows for a call's transit to the backend server.
constexpr double DrainFraction = 0.85;
constexpr int MaxMissedReports = 4;
constexpr Duration MaxReportDelay = std::chrono::seconds(1);
/// Of the reports that confirm an instance, the first may be late, the others are an interval apart.
constexpr double ConfirmationIntervals = MaxLateReports - 0.5;

/// The start of draining of an instance that may have drained for long.
TimePoint drainedLongAgo(const BackendTracker &tracker, TimePoint now)
{
    return now - tracker.timeouts().drainLimit();
}

/// The start of draining of the known instance, which says now that it drains. As long as it isn't confirmed, it may
/// have said so before.
TimePoint drainStart(const BackendTracker &tracker, TimePoint now)
{
    return tracker.isConfirmed() ? now : drainedLongAgo(tracker, now);
}

Departure departureOf(const BackendReport &report)
{
    return Departure().withInstance(report.instance()).withStartedAtMs(report.startedAtMs());
}

} // namespace

BackendTimeouts BackendTimeouts::from(Duration drain, Duration reportInterval)
{
    return BackendTimeouts()
        .withSilenceTimeout(reportInterval * MaxMissedReports + MaxReportDelay)
        .withDrainGrace(drain / DrainGraceDivisor)
        .withDrainLimit(std::chrono::duration_cast<Duration>(drain * DrainFraction))
        .withConfirmationTime(std::chrono::duration_cast<Duration>(reportInterval * ConfirmationIntervals));
}

const char *toString(BackendState state)
{
    static constexpr std::array Names = {"unknown", "ready", "draining", "silent"};
    return Names.at(static_cast<std::size_t>(state));
}

const char *toString(ReportVerdict verdict)
{
    static constexpr std::array Names = {"taken", "old", "foreign"};
    return Names.at(static_cast<std::size_t>(verdict));
}

BackendState BackendTracker::state(TimePoint now) const
{
    if (m_drainingSince != TimePoint()) {
        return BackendState::Draining;
    }
    if (!isConfirmed()) {
        return BackendState::Unknown;
    }
    if (m_report.state() == BackendState::Ready && now - m_lastReportAt >= m_timeouts.silenceTimeout()) {
        return BackendState::Silent;
    }
    return m_report.state();
}

bool BackendTracker::isConfirmed() const
{
    // Either alone may mislead: wall clocks may be set, and one of the first reports may be late. An instance that an
    // earlier process knew did not start in the same millisecond: storing its departure and a start take longer.
    const bool isNewStart = m_report.startedAtMs() >= m_processStartedAtMs && m_firstSequence <= MaxFirstSequence;
    const bool goesOnReporting =
        m_reportCount > MaxLateReports && m_lastReportAt - m_firstReportAt >= m_timeouts.confirmationTime();
    return !m_awaitsDepartures || isNewStart || goesOnReporting;
}

bool BackendTracker::acceptsCalls(TimePoint now) const
{
    switch (state(now)) {
    case BackendState::Unknown:
        return false;
    case BackendState::Draining:
        return now - m_drainingSince < m_timeouts.drainGrace();
    case BackendState::Ready:
    case BackendState::Silent:
        break;
    }
    return true;
}

bool BackendTracker::canStart(TimePoint now) const
{
    return state(now) == BackendState::Draining ? now - m_drainingSince < m_timeouts.drainLimit()
                                                : state(now) != BackendState::Unknown;
}

TrackerUpdate
afterReport(const BackendTracker &known, const BackendReport &report, const std::string &service, TimePoint now)
{
    if (report.service() != service) {
        return {known, ReportVerdict::Foreign};
    }
    const bool isKnown = known.report().state() != BackendState::Unknown;
    const bool isSame = isKnown && isSameInstance(report, known.report());
    const bool isDraining = report.state() == BackendState::Draining;
    BackendTracker next = known;
    if (isDraining) {
        next = next.withDepartures(withDeparture(known.departures(), departureOf(report), now));
    }
    if (isDraining && isSame && next.drainingSince() == TimePoint()) {
        next = next.withDrainingSince(drainStart(known, now));
    }
    if (hasDeparted(known.departures(), report, now) && !(isDraining && isSame)) {
        return {next, ReportVerdict::Stale};
    }
    const bool isSilent = isKnown && now - known.lastReportAt() >= known.timeouts().silenceTimeout();
    const bool isNew = !isKnown || (isSilent && !isSame);
    if (!isNew && !isLater(report, known.report())) {
        return {next, ReportVerdict::Stale};
    }
    next = next.withReport(report).withLastReportAt(now).withReportCount(isSame ? known.reportCount() + 1 : 1);
    if (!isSame) {
        next = next.withFirstReportAt(now)
                   .withFirstSequence(report.sequence())
                   .withDrainingSince(isDraining ? drainedLongAgo(known, now) : TimePoint());
    }
    // A rate that was received before the first report is kept.
    if (isKnown && !isSame) {
        next = next.withRate(0).withLastAnswerAt(TimePoint()).withRateNamedAt(TimePoint());
    }
    return {next, ReportVerdict::Accepted};
}

BackendTracker afterRecovery(const BackendTracker &known, const Departures &earlier, TimePoint now)
{
    const BackendTracker next =
        known.withAwaitsDepartures(false).withDepartures(withEarlierDepartures(known.departures(), earlier, now));
    const bool isKnown = known.report().state() != BackendState::Unknown;
    const bool startsDraining =
        isKnown && known.drainingSince() == TimePoint() && hasDeparted(next.departures(), known.report(), now);
    return startsDraining ? next.withDrainingSince(drainedLongAgo(known, now)) : next;
}

BackendNotice BackendTracker::notice() const
{
    BackendNotice notice = BackendNotice().withRate(m_rate);
    if (m_drainingSince != TimePoint()) {
        notice = notice.withLeavingInstance(m_report.instance()).withLeavingStartedAtMs(m_report.startedAtMs());
    }
    return notice;
}

BackendTracker afterAnswer(const BackendTracker &known,
                           const std::string &instance,
                           const BackendNotice &notice,
                           TimePoint sentAt,
                           TimePoint now)
{
    if (instance != known.report().instance()) {
        return known;
    }
    BackendTracker next = known.withLastAnswerAt(now);
    if (notice.rate() > 0) {
        next = next.withRate(notice.rate()).withRateNamedAt(now);
    } else if (sentAt > known.rateNamedAt()) {
        next = next.withRate(0);
    }
    const bool startsDraining = !notice.leavingInstance().empty() && next.drainingSince() == TimePoint();
    if (!startsDraining) {
        return next;
    }
    return next.withDrainingSince(drainStart(known, now))
        .withDepartures(withDeparture(known.departures(), departureOf(known.report()), now));
}

BackendTracker afterReceivedNotice(const BackendTracker &known, const BackendNotice &notice, TimePoint now)
{
    BackendTracker next = known;
    if (notice.rate() > 0 && known.lastAnswerAt() == TimePoint()) {
        next = next.withRate(notice.rate());
    }
    // Without its start time, the instance could be an earlier one of the same name.
    if (notice.leavingInstance().empty() || notice.leavingStartedAtMs() == 0) {
        return next;
    }
    // The notice may arrive before the first report of the instance.
    const Departure departure =
        Departure().withInstance(notice.leavingInstance()).withStartedAtMs(notice.leavingStartedAtMs());
    next = next.withDepartures(withDeparture(known.departures(), departure, now));
    const bool isKnown = known.report().instance() == notice.leavingInstance()
        && known.report().startedAtMs() == notice.leavingStartedAtMs();
    if (isKnown && next.drainingSince() == TimePoint()) {
        next = next.withDrainingSince(drainedLongAgo(known, now));
    }
    return next;
}

TrackerUpdate
afterDeregistration(const BackendTracker &known, const std::string &instance, TimePoint now, std::uint64_t wallClockMs)
{
    const bool isKnown = known.report().instance() == instance;
    const std::uint64_t startedAtMs = isKnown ? known.report().startedAtMs() : 0;
    const Departure departure = Departure()
                                    .withInstance(instance)
                                    .withStartedAtMs(startedAtMs)
                                    .withDepartedAtMs(startedAtMs == 0 ? wallClockMs : 0);
    const BackendTracker next = known.withDepartures(withDeparture(known.departures(), departure, now));
    if (!isKnown) {
        return {next, ReportVerdict::Foreign};
    }
    const bool startsDraining = known.drainingSince() == TimePoint();
    return {startsDraining ? next.withDrainingSince(drainStart(known, now)) : next, ReportVerdict::Accepted};
}

} // namespace fescuepond
