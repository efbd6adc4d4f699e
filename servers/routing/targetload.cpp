// What a caller's node knows of a target's load and health.

#include "servers/routing/targetload.h"

#include "core/kernel/invariant.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace fescuepond
{

namespace
{

/// Taken for a target that hasn't said its limit, or not lately.
constexpr double DefaultLimit = 40;
/// A limit counts for so long. It must end: a target with a low one may be sent nothing that would tell a better one.
constexpr Duration LimitMaxAge = std::chrono::seconds(5);
/// What a target said of its load counts for so long.
constexpr Duration ReportMaxAge = std::chrono::seconds(1);
/// Doubtful outcomes in a row after which a target is ejected.
constexpr int SuspiciousBeforeEjection = 3;
constexpr Duration BaseEjectionTime = std::chrono::seconds(1);
constexpr Duration MaxEjectionTime = std::chrono::seconds(30);
constexpr int MaxEjectionDoublings = 5;

/// Weight of the newest call in the moving average of failing calls.
constexpr double FailureRatioWeight = 0.06;
/// A failing part counts for so long after the last call; then some calls find out whether it still holds.
constexpr Duration FailureRatioMaxAge = std::chrono::seconds(2);
/// Failing parts that differ by less are taken as equal: they are averages of few calls.
constexpr double FailureRatioMargin = 0.2;
/// Power of the served part by which the utilisation is divided. With it, a target that fails half of its calls is used
/// only when the others are more than ten times as full.
constexpr double FailurePenaltyExponent = 8;

struct SignalRow {
    CallState state;
    Reason reason;
    HealthSignal signal;
};

/// Outcomes that tell something of the target; all other refusals are neutral.
constexpr std::array SignalRows = {
    SignalRow{CallState::NotRun, Reason::Leaving, HealthSignal::Failed},
    SignalRow{CallState::NotRun, Reason::ConnectionLost, HealthSignal::Failed},
    SignalRow{CallState::NotRun, Reason::BackendUnreachable, HealthSignal::Failed},
    SignalRow{CallState::OutcomeUnknown, Reason::ConnectionLost, HealthSignal::Failed},
    SignalRow{CallState::OutcomeUnknown, Reason::BackendLost, HealthSignal::Suspicious},
    SignalRow{CallState::OutcomeUnknown, Reason::AnswerLost, HealthSignal::Suspicious},
    SignalRow{CallState::OutcomeUnknown, Reason::DeadlineExceeded, HealthSignal::Suspicious},
};

/// Whether a target that runs failed the call for its own sake.
bool isOwnFailure(const CallOutcome &outcome)
{
    const bool isOwnError = isServerError(outcome) && outcome.reason() != Reason::FailedBelow;
    return isOwnError || outcome.reason() == Reason::BackendBusy || outcome.reason() == Reason::AnswerLost;
}

TargetLoad afterFailure(const TargetLoad &load, HealthSignal signal, TimePoint now)
{
    const TargetLoad failed = load.withConsecutiveFailures(load.consecutiveFailures() + 1);
    const bool isFailed = signal == HealthSignal::Failed || failed.consecutiveFailures() >= SuspiciousBeforeEjection;
    // Calls that were under way when the target was ejected say nothing new.
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
    return now - load.lastCompletedAt() < FailureRatioMaxAge ? load.failureRatio() : 0;
}

TargetLoad afterSend(const TargetLoad &load, TimePoint now)
{
    return load.withInFlight(load.inFlight() + 1).withLastUsedAt(now);
}

TargetLoad afterOutcome(const TargetLoad &load, const CallOutcome &outcome, TimePoint now)
{
    invariant(load.inFlight() > 0, "a call that ends was in flight");
    TargetLoad completed = load.withInFlight(load.inFlight() - 1).withLastUsedAt(now);
    if (outcome.targetLimit() > 0) {
        completed = completed.withLimit(outcome.targetLimit())
                        .withReportedInFlight(outcome.targetInFlight())
                        .withReportedAt(now);
    }
    const HealthSignal signal = healthSignalOf(outcome);
    const bool isOwn = isOwnFailure(outcome);
    if (isOwn || outcome.state() == CallState::Answered) {
        const double before = failureRatioAt(load, now);
        completed = completed.withFailureRatio(before + FailureRatioWeight * ((isOwn ? 1 : 0) - before))
                        .withLastCompletedAt(now);
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

double utilisation(const TargetLoad &load, TimePoint now)
{
    const bool isFresh = load.reportedInFlight() > 0 && now - load.reportedAt() < ReportMaxAge;
    const int inFlight = isFresh ? std::max(load.inFlight(), load.reportedInFlight()) : load.inFlight();
    const bool hasLimit = load.limit() > 0 && now - load.reportedAt() < LimitMaxAge;
    return (inFlight + 1) / (hasLimit ? load.limit() : DefaultLimit);
}

double penalisedUtilisation(const TargetLoad &load, double minFailureRatio, TimePoint now)
{
    const double excess = std::max(0.0, failureRatioAt(load, now) - minFailureRatio - FailureRatioMargin);
    return utilisation(load, now) / std::pow(1 - excess, FailurePenaltyExponent);
}

} // namespace fescuepond
