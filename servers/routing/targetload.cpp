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
constexpr double UnknownLimit = 40;
/// A limit counts for so long. It must end: a target with a low one may be sent nothing that would tell a better one.
constexpr Duration LimitLife = std::chrono::seconds(5);
/// What a target said of its load counts for so long.
constexpr Duration ReportLife = std::chrono::seconds(1);
/// Doubtful outcomes in a row after which a target is ejected.
constexpr int DoubtfulLimit = 3;
constexpr Duration FirstEjection = std::chrono::seconds(1);
constexpr Duration LongestEjection = std::chrono::seconds(30);
constexpr int MostDoublings = 5;

/// Weight of the newest call in the moving average of failing calls.
constexpr double FailingWeight = 0.06;
/// A failing part counts for so long after the last call; then some calls find out whether it still holds.
constexpr Duration FailingLife = std::chrono::seconds(2);
/// Failing parts that differ by less are taken as equal: they are averages of few calls.
constexpr double FailingMargin = 0.2;
/// Power of the served part by which the utilisation is divided. With it, a target that fails half of its calls is used
/// only when the others are more than ten times as full.
constexpr double FailingPower = 8;

struct VerdictRow {
    CallState state;
    Reason reason;
    TargetVerdict verdict;
};

/// Outcomes that tell something of the target; all other refusals are neutral.
constexpr std::array Verdicts = {
    VerdictRow{CallState::NotRun, Reason::Leaving, TargetVerdict::Failed},
    VerdictRow{CallState::NotRun, Reason::ConnectionLost, TargetVerdict::Failed},
    VerdictRow{CallState::NotRun, Reason::BackendUnreachable, TargetVerdict::Failed},
    VerdictRow{CallState::OutcomeUnknown, Reason::ConnectionLost, TargetVerdict::Failed},
    VerdictRow{CallState::OutcomeUnknown, Reason::BackendLost, TargetVerdict::Doubtful},
    VerdictRow{CallState::OutcomeUnknown, Reason::AnswerLost, TargetVerdict::Doubtful},
    VerdictRow{CallState::OutcomeUnknown, Reason::DeadlineExceeded, TargetVerdict::Doubtful},
};

/// Whether a target that runs failed the call for its own sake.
bool isOwnFailure(const CallOutcome &outcome)
{
    const bool isOwnError = isServerError(outcome) && outcome.reason() != Reason::FailedBelow;
    return isOwnError || outcome.reason() == Reason::BackendBusy || outcome.reason() == Reason::AnswerLost;
}

TargetLoad afterFailure(const TargetLoad &load, TargetVerdict verdict, TimePoint now)
{
    const TargetLoad failed = load.withFailures(load.failures() + 1);
    const bool isFailed = verdict == TargetVerdict::Failed || failed.failures() >= DoubtfulLimit;
    // Calls that were under way when the target was ejected say nothing new.
    if (!isFailed || isEjected(load, now)) {
        return failed;
    }
    const Duration time = std::min(LongestEjection, FirstEjection * (1 << std::min(load.ejections(), MostDoublings)));
    return failed.withEjections(load.ejections() + 1).withEjectedUntil(now + time);
}

} // namespace

TargetVerdict judge(const CallOutcome &outcome)
{
    if (outcome.state() == CallState::Answered) {
        return TargetVerdict::Good;
    }
    const auto row = std::find_if(Verdicts.begin(), Verdicts.end(), [&](const VerdictRow &candidate) {
        return candidate.state == outcome.state() && candidate.reason == outcome.reason();
    });
    return row == Verdicts.end() ? TargetVerdict::Neutral : row->verdict;
}

double failingPartAt(const TargetLoad &load, TimePoint now)
{
    return now - load.endedAt() < FailingLife ? load.failingPart() : 0;
}

TargetLoad afterSend(const TargetLoad &load, TimePoint now)
{
    return load.withInFlight(load.inFlight() + 1).withUsedAt(now);
}

TargetLoad afterOutcome(const TargetLoad &load, const CallOutcome &outcome, TimePoint now)
{
    invariant(load.inFlight() > 0, "a call that ends was in flight");
    TargetLoad ended = load.withInFlight(load.inFlight() - 1).withUsedAt(now);
    if (outcome.targetLimit() > 0) {
        ended = ended.withLimit(outcome.targetLimit()).withReported(outcome.targetInFlight()).withReportedAt(now);
    }
    const TargetVerdict verdict = judge(outcome);
    const bool isOwn = isOwnFailure(outcome);
    if (isOwn || outcome.state() == CallState::Answered) {
        const double before = failingPartAt(load, now);
        ended = ended.withFailingPart(before + FailingWeight * ((isOwn ? 1 : 0) - before)).withEndedAt(now);
    }
    switch (verdict) {
    case TargetVerdict::Good:
        return ended.withFailures(0).withEjections(0).withEjectedUntil(TimePoint());
    case TargetVerdict::Neutral:
        return ended;
    case TargetVerdict::Doubtful:
    case TargetVerdict::Failed:
        return afterFailure(ended, verdict, now);
    }
    return ended;
}

double utilisation(const TargetLoad &load, TimePoint now)
{
    const bool isFresh = load.reported() > 0 && now - load.reportedAt() < ReportLife;
    const int inFlight = isFresh ? std::max(load.inFlight(), load.reported()) : load.inFlight();
    const bool hasLimit = load.limit() > 0 && now - load.reportedAt() < LimitLife;
    return (inFlight + 1) / (hasLimit ? load.limit() : UnknownLimit);
}

double comparedUtilisation(const TargetLoad &load, double leastFailingPart, TimePoint now)
{
    const double excess = std::max(0.0, failingPartAt(load, now) - leastFailingPart - FailingMargin);
    return utilisation(load, now) / std::pow(1 - excess, FailingPower);
}

} // namespace fescuepond
