// What a node knows of the backend server beside it, from the reports that this makes, and what follows from it.
//
// A report is taken when it is of a later boot, or of the same boot and later in sequence; an older one, which a
// partition may have held up, changes nothing. Once a boot has said that it leaves, no report of that boot takes it
// back.

#pragma once

#include "core/values/backendreport.h"

#include <compare>
#include <string>

namespace fescuepond
{

/// Times that the surroundings set.
class BackendTimeouts
{
    /// A backend server that has said nothing for so long is taken for gone.
    FESCUEPOND_FIELD(Duration, silenceTimeout, withSilenceTimeout);
    /// Calls that arrive so long after the backend server said that it leaves are refused. Their senders have been told
    /// by then, unless they are cut off.
    FESCUEPOND_FIELD(Duration, drainGrace, withDrainGrace);
    /// Nothing is given to a backend server so long after it said that it leaves; below the time for which it is sure
    /// to take work.
    FESCUEPOND_FIELD(Duration, drainLimit, withDrainLimit);

public:
    /// `drain`: for so long a leaving backend server takes work. `reportInterval`: usual time between two reports, each
    /// of which may be seconds late.
    static BackendTimeouts from(Duration drain, Duration reportInterval);
    friend auto operator<=>(const BackendTimeouts &, const BackendTimeouts &) = default;
};

class BackendTracker
{
    FESCUEPOND_FIELD(BackendTimeouts, timeouts, withTimeouts);
    FESCUEPOND_FIELD(BackendReport, report, withReport); ///< The latest that was taken.
    FESCUEPOND_FIELD(TimePoint, lastReportAt, withLastReportAt);
    FESCUEPOND_FIELD(TimePoint, drainingSince, withDrainingSince); ///< Of the latest boot; zero: it isn't.

public:
    BackendState state(TimePoint now) const;
    /// Whether calls may be sent here.
    bool isServing(TimePoint now) const
    {
        return state(now) == BackendState::Ready;
    }
    /// Whether a call that arrives now is taken.
    bool mayArrive(TimePoint now) const;
    /// Whether a call may be given to the backend server now.
    bool mayBegin(TimePoint now) const;
    friend auto operator<=>(const BackendTracker &, const BackendTracker &) = default;
};

enum class ReportVerdict {
    Accepted,
    Stale, ///< It was overtaken by a later one.
    Foreign, ///< It is of another service's backend server.
};

const char *toString(ReportVerdict verdict);

struct TrackerUpdate {
    BackendTracker tracker;
    ReportVerdict verdict;
};

/// Takes in a report to the node of `service`.
TrackerUpdate
afterReport(const BackendTracker &known, const BackendReport &report, const std::string &service, TimePoint now);

/// The backend server has said that it is leaving, without a report. `instance` that isn't the known one changes
/// nothing.
TrackerUpdate afterLeave(const BackendTracker &known, const std::string &instance, TimePoint now);

} // namespace fescuepond
