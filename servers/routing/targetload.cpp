// Load and health of a target, as a node observes them from the calls that it sends there (outlier detection).

#include "servers/routing/targetload.h"

#include "core/kernel/invariant.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace fescuepond
{

namespace
{

/// Assumed for a target that hasn't reported its limit, or not lately.
constexpr double DefaultLimit = 40;
/// A reported limit expires, since a target with a low one may get no call whose outcome would report a higher one.
constexpr Duration LimitMaxAge = std::chrono::seconds(5);
/// One that follows from a named rate holds longer: the target still gets some calls, in proportion to it.
constexpr Duration NamedLimitMaxAge = std::chrono::minutes(1);
/// The reported number of calls in flight expires after this time.
constexpr Duration ReportMaxAge = std::chrono::seconds(1);
/// Suspicious outcomes in a row that eject a target.
constexpr int SuspiciousBeforeEjection = 3;
constexpr Duration BaseEjectionTime = std::chrono::seconds(1);
constexpr Duration MaxEjectionTime = std::chrono::seconds(30);
constexpr int MaxEjectionDoublings = 5;

/// Weight of the latest call in the moving average.
constexpr double FailureRatioWeight = 0.06;
/// A failure ratio expires this long after the last call; then a few calls probe whether it has changed.
constexpr Duration FailureRatioMaxAge = std::chrono::seconds(2);
/// Failure ratios that differ by less count as equal, since they are averages of few calls.
constexpr double FailureRatioMargin = 0.2;
/// The utilisation is divided by the success ratio to this power. With it, a target that fails half of its calls is
/// used only if the others are more than ten times as utilised.
constexpr double FailurePenaltyExponent = 8;

struct SignalRow {
    CallState state;
    Reason reason;
    HealthSignal signal;
};

/// Outcomes without an answer that indicate a failing target; all others are neutral.
constexpr std::array SignalRows = {
    SignalRow{CallState::NotRun, Reason::Leaving, HealthSignal::Failed},
    SignalRow{CallState::NotRun, Reason::ConnectionLost, HealthSignal::Failed},
    SignalRow{CallState::NotRun, Reason::BackendUnreachable, HealthSignal::Failed},
    SignalRow{CallState::OutcomeUnknown, Reason::ConnectionLost, HealthSignal::Failed},
    SignalRow{CallState::OutcomeUnknown, Reason::BackendLost, HealthSignal::Suspicious},
    SignalRow{CallState::OutcomeUnknown, Reason::AnswerLost, HealthSignal::Suspicious},
    SignalRow{CallState::OutcomeUnknown, Reason::DeadlineExceeded, HealthSignal::Suspicious},
};

/// Whether the call failed because of the target, though the target is reachable.
bool isOwnFailure(const CallOutcome &outcome)
{
    const bool isOwnError = isServerError(outcome) && outcome.reason() != Reason::ChildCallFailed;
    return isOwnError || outcome.reason() == Reason::BackendBusy || outcome.reason() == Reason::AnswerLost;
}

TargetLoad afterFailure(const TargetLoad &load, HealthSignal signal, TimePoint now)
{
    const TargetLoad failed = load.withConsecutiveFailures(load.consecutiveFailures() + 1);
    const bool isFailed = signal == HealthSignal::Failed || failed.consecutiveFailures() >= SuspiciousBeforeEjection;
    // Failures of calls that were in flight when the target was ejected don't extend the ejection.
    if (!isFailed || isEjected(load, now)) {
        return failed;
    }
    const Duration time =
        std::min(MaxEjectionTime, BaseEjectionTime * (1 << std::min(load.ejections(), MaxEjectionDoublings)));
    return failed.withEjections(load.ejections() + 1).withEjectedUntil(now + time);
}

} // namespace

HealthSignal healthSignalOf(const CallOutcome &outcome)
{
    if (outcome.state() == CallState::Answered) {
        return HealthSignal::Healthy;
    }
    const auto row = std::find_if(SignalRows.begin(), SignalRows.end(), [&](const SignalRow &candidate) {
        return candidate.state == outcome.state() && candidate.reason == outcome.reason();
    });
    return row == SignalRows.end() ? HealthSignal::Neutral : row->signal;
}

double failureRatioAt(const TargetLoad &load, TimePoint now)
{
    return now - load.failureRatioUpdatedAt() < FailureRatioMaxAge ? load.failureRatio() : 0;
}

TargetLoad afterSend(const TargetLoad &load, TimePoint now)
{
    return load.withInFlight(load.inFlight() + 1).withLastUsedAt(now);
}

TargetLoad afterOutcome(const TargetLoad &load, const CallOutcome &outcome, TimePoint now)
{
    invariant(load.inFlight() > 0, "a call that completes was in flight");
    TargetLoad completed = load.withInFlight(load.inFlight() - 1).withLastUsedAt(now);
    if (outcome.targetLimit() > 0) {
        completed = completed.withLimit(outcome.targetLimit())
                        .withReportedInFlight(outcome.targetInFlight())
                        .withHasNamedRate(outcome.notice().rate() > 0)
                        .withReportedAt(now);
    }
    const HealthSignal signal = healthSignalOf(outcome);
    const bool isOwn = isOwnFailure(outcome);
    if (isOwn || outcome.state() == CallState::Answered) {
        const double before = failureRatioAt(load, now);
        completed = completed.withFailureRatio(before + FailureRatioWeight * ((isOwn ? 1 : 0) - before))
                        .withFailureRatioUpdatedAt(now);
    }
    switch (signal) {
    case HealthSignal::Healthy:
        return completed.withConsecutiveFailures(0).withEjections(0).withEjectedUntil(TimePoint());
    case HealthSignal::Neutral:
        return completed;
    case HealthSignal::Suspicious:
    case HealthSignal::Failed:
        return afterFailure(completed, signal, now);
    }
    return completed;
}

double limitAt(const TargetLoad &load, TimePoint now)
{
    const Duration maxAge = load.hasNamedRate() ? NamedLimitMaxAge : LimitMaxAge;
    return load.limit() > 0 && now - load.reportedAt() < maxAge ? load.limit() : DefaultLimit;
}

double utilisation(const TargetLoad &load, TimePoint now)
{
    const bool isFresh = load.reportedInFlight() > 0 && now - load.reportedAt() < ReportMaxAge;
    const int inFlight = isFresh ? std::max(load.inFlight(), load.reportedInFlight()) : load.inFlight();
    return (inFlight + 1) / limitAt(load, now);
}

double penalisedUtilisation(const TargetLoad &load, double minFailureRatio, TimePoint now)
{
    const double excess = std::max(0.0, failureRatioAt(load, now) - minFailureRatio - FailureRatioMargin);
    return utilisation(load, now) / std::pow(1 - excess, FailurePenaltyExponent);
}

} // namespace fescuepond
