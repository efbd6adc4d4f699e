// Decides whether a call is retried after a failed attempt, by a table of the failures that a retry can help with.

#include "servers/retry/retrypolicy.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace fescuepond
{

namespace
{

/// A call that was running on two backend servers when they were lost isn't sent to a third: it may have crashed them.
constexpr int MaxCrashes = 2;

/// A failure that may not recur at another target. Rejections for overload aren't listed: a retry would add to the
/// load.
struct RetryableFailure {
    CallState state;
    Reason reason;
    bool needsIdempotent; ///< The call may have run.
};

constexpr std::array RetryableFailures = {
    RetryableFailure{CallState::NotRun, Reason::ConnectionLost, false},
    RetryableFailure{CallState::NotRun, Reason::BackendUnreachable, false},
    RetryableFailure{CallState::NotRun, Reason::Leaving, false},
    RetryableFailure{CallState::OutcomeUnknown, Reason::ConnectionLost, true},
    RetryableFailure{CallState::OutcomeUnknown, Reason::BackendLost, true},
    RetryableFailure{CallState::OutcomeUnknown, Reason::AnswerLost, true},
};

/// Statuses by which a backend server reports a failure. 503 isn't listed: it reports overload.
constexpr std::array RetryableStatuses = {500, 502, 504};

/// The backend server itself failed, not a call that it made. Only the hop next to a failure retries it.
bool isOwnServerError(const CallOutcome &outcome)
{
    const bool isListed =
        std::find(RetryableStatuses.begin(), RetryableStatuses.end(), outcome.status()) != RetryableStatuses.end();
    return isListed && outcome.reason() != Reason::ChildCallFailed;
}

/// The backend server rejected the call though it runs fewer calls than it can. That isn't overload: all its calls pass
/// its node, which knows how many run.
bool isRejectionWithFreeSlots(const CallOutcome &outcome)
{
    return outcome.state() == CallState::NotRun && outcome.reason() == Reason::BackendBusy
        && outcome.targetInFlight() < outcome.targetLimit();
}

bool isRetryable(const FailedAttempt &attempt)
{
    const CallOutcome &outcome = attempt.outcome();
    if (attempt.crashCount() >= MaxCrashes) {
        return false;
    }
    if (outcome.state() == CallState::Answered) {
        return attempt.idempotent() && isOwnServerError(outcome);
    }
    if (isRejectionWithFreeSlots(outcome)) {
        return true;
    }
    return std::any_of(RetryableFailures.begin(), RetryableFailures.end(), [&](const RetryableFailure &failure) {
        const bool isSame = failure.state == outcome.state() && failure.reason == outcome.reason();
        return isSame && (attempt.idempotent() || !failure.needsIdempotent);
    });
}

} // namespace

RetryVerdict decideRetry(const FailedAttempt &attempt, bool isWithinBudget)
{
    if (isSuccess(attempt.outcome())) {
        return RetryVerdict::Success;
    }
    if (!isRetryable(attempt)) {
        return RetryVerdict::NotRetryable;
    }
    if (!attempt.allowance().permitsRetry()) {
        return RetryVerdict::NoAllowance;
    }
    if (attempt.remaining() <= std::max(attempt.elapsed(), Duration::zero())) {
        return RetryVerdict::NoTime;
    }
    return isWithinBudget ? RetryVerdict::Retry : RetryVerdict::NoBudget;
}

const char *toString(RetryVerdict verdict)
{
    static constexpr std::array Names = {"retry", "success", "not-retryable", "no-allowance", "no-budget", "no-time"};
    return Names.at(static_cast<std::size_t>(verdict));
}

} // namespace fescuepond
