// What a caller's node knows of a target's load and health, from the calls that it sends there.

#pragma once

#include "core/kernel/clock.h"
#include "core/value.h"
#include "core/values/call.h"

#include <compare>

namespace fescuepond
{

class TargetLoad
{
    FESCUEPOND_FIELD(int, inFlight, withInFlight); ///< Calls of this node that have not ended.
    FESCUEPOND_FIELD(double, limit, withLimit); ///< As the target last said; 0: it hasn't yet.
    FESCUEPOND_FIELD(int,
                     reportedInFlight,
                     withReportedInFlight); ///< Calls of all nodes at the target, as it last said.
    FESCUEPOND_FIELD(TimePoint, reportedAt, withReportedAt);
    FESCUEPOND_FIELD(int,
                     consecutiveFailures,
                     withConsecutiveFailures); ///< Calls that failed for the target's sake, in a row.
    FESCUEPOND_FIELD(int, ejections, withEjections); ///< Since it last answered.
    FESCUEPOND_FIELD(TimePoint, ejectedUntil, withEjectedUntil);
    FESCUEPOND_FIELD(TimePoint, lastUsedAt, withLastUsedAt);
    /// Part of the latest calls that it refused or answered with an error of its own, though it runs.
    FESCUEPOND_FIELD(double, failureRatio, withFailureRatio);
    FESCUEPOND_FIELD(TimePoint, lastCompletedAt, withLastCompletedAt); ///< When a call last ended there.

public:
    friend auto operator<=>(const TargetLoad &, const TargetLoad &) = default;
};

/// What an outcome says of the target.
enum class HealthSignal {
    Healthy,
    Neutral, ///< A refusal that a healthy target gives.
    Suspicious, ///< Several in a row mean that the target fails.
    Failed,
};

HealthSignal healthSignalOf(const CallOutcome &outcome);

/// The load after a call was sent, and after it ended.
TargetLoad afterSend(const TargetLoad &load, TimePoint now);
TargetLoad afterOutcome(const TargetLoad &load, const CallOutcome &outcome, TimePoint now);

/// The failing part, 0 once nothing has told of it for some time.
double failureRatioAt(const TargetLoad &load, TimePoint now);

/// (calls in flight + 1) / limit: above 1 the next call would wait.
double utilisation(const TargetLoad &load, TimePoint now);
/// The utilisation by which targets are compared. One that fails a greater part of its calls than the best does looks
/// fuller than it is, or it would draw the more calls the faster it fails them.
double penalisedUtilisation(const TargetLoad &load, double minFailureRatio, TimePoint now);

inline bool isEjected(const TargetLoad &load, TimePoint now)
{
    return now < load.ejectedUntil();
}

} // namespace fescuepond
