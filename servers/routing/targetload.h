// Load and health of a target, as a node observes them from the calls that it sends there (outlier detection).

#pragma once

#include "core/kernel/clock.h"
#include "core/value.h"
#include "core/values/call.h"

#include <compare>

namespace fescuepond
{

class TargetLoad
{
    FESCUEPOND_FIELD(int, inFlight, withInFlight); ///< Calls of this node that have not completed.
    FESCUEPOND_FIELD(double, limit, withLimit); ///< As the target last reported; 0: it hasn't yet.
    /// Calls of all nodes at the target, as it last reported.
    FESCUEPOND_FIELD(int, reportedInFlight, withReportedInFlight);
    FESCUEPOND_FIELD(TimePoint, reportedAt, withReportedAt);
    /// The limit follows from a rate that the target's backend server has named.
    FESCUEPOND_FIELD(bool, hasNamedRate, withHasNamedRate);
    /// Outcomes in a row whose health signal was suspicious or failed.
    FESCUEPOND_FIELD(int, consecutiveFailures, withConsecutiveFailures);
    FESCUEPOND_FIELD(int, ejections, withEjections); ///< Since it last answered.
    FESCUEPOND_FIELD(TimePoint, ejectedUntil, withEjectedUntil);
    FESCUEPOND_FIELD(TimePoint, lastUsedAt, withLastUsedAt);
    /// Fraction of the latest calls that the reachable target rejected as overloaded, answered with an error of its
    /// own, or left without an answer. Moving average.
    FESCUEPOND_FIELD(double, failureRatio, withFailureRatio);
    FESCUEPOND_FIELD(TimePoint, failureRatioUpdatedAt, withFailureRatioUpdatedAt);

public:
    friend auto operator<=>(const TargetLoad &, const TargetLoad &) = default;
};

/// What an outcome indicates about the target's health.
enum class HealthSignal {
    Healthy,
    Neutral, ///< For example a rejection that a healthy target gives.
    Suspicious, ///< Several in a row eject the target.
    Failed, ///< Ejects the target.
};

HealthSignal healthSignalOf(const CallOutcome &outcome);

/// The load after a call was sent, and after it completed.
TargetLoad afterSend(const TargetLoad &load, TimePoint now);
TargetLoad afterOutcome(const TargetLoad &load, const CallOutcome &outcome, TimePoint now);

/// The failure ratio; 0 if no call has updated it for FailureRatioMaxAge.
double failureRatioAt(const TargetLoad &load, TimePoint now);

/// The reported limit, or a usual one if none was reported lately.
double limitAt(const TargetLoad &load, TimePoint now);
/// (calls in flight + 1) / limit: above 1 the next call would be queued.
double utilisation(const TargetLoad &load, TimePoint now);
/// The utilisation by which targets are compared. It is raised for a target with a higher failure ratio than the best
/// one: a target that fails its calls fast has few in flight and would otherwise attract more of them.
double penalisedUtilisation(const TargetLoad &load, double minFailureRatio, TimePoint now);

inline bool isEjected(const TargetLoad &load, TimePoint now)
{
    return now < load.ejectedUntil();
}

} // namespace fescuepond
