// What the sender of an attempt does when the connection was lost.

#include "servers/settlement/settlementpolicy.h"

#include <algorithm>

namespace fescuepond
{

namespace
{

constexpr Duration FirstPause = std::chrono::milliseconds(50);
constexpr Duration LongestPause = std::chrono::milliseconds(800);
constexpr int IdempotentFailureLimit = 2;

} // namespace

std::optional<Duration> pauseBeforeAskingAgain(const CallContext &call, int failures, TimePoint now)
{
    if (call.idempotent() && failures >= IdempotentFailureLimit) {
        return std::nullopt;
    }
    Duration pause = FirstPause;
    for (int i = 1; i < failures && pause < LongestPause; ++i) {
        pause *= 2;
    }
    return now + pause < call.deadline() ? std::optional(std::min(pause, LongestPause)) : std::nullopt;
}

std::optional<CallOutcome> outcomeOf(const AttemptReport &report, const CallContext &call)
{
    switch (report.status()) {
    case AttemptStatus::Running:
        return std::nullopt;
    case AttemptStatus::Finished:
        return report.outcome();
    case AttemptStatus::Fenced:
        return CallOutcome::notRun(Reason::ConnectionLost, "the connection to the target was lost before the call ran")
            .withUnusedAllowance(call.retryAllowance());
    case AttemptStatus::Forgotten:
        break;
    }
    return CallOutcome::unknown(Reason::ConnectionLost, "the target does not know any more what became of the call");
}

} // namespace fescuepond
