// What the sender of an attempt does when the connection was lost.

#include "servers/settlement/settlementpolicy.h"

#include <algorithm>

namespace fescuepond
{

namespace
{

constexpr Duration InitialRetryDelay = std::chrono::milliseconds(50);
constexpr Duration MaxRetryDelay = std::chrono::milliseconds(800);
constexpr int MaxIdempotentFailures = 2;

} // namespace

std::optional<Duration> settlementRetryDelay(const CallContext &call, int failures, TimePoint now)
{
    if (call.idempotent() && failures >= MaxIdempotentFailures) {
        return std::nullopt;
    }
    Duration pause = InitialRetryDelay;
    for (int i = 1; i < failures && pause < MaxRetryDelay; ++i) {
        pause *= 2;
    }
    return now + pause < call.deadline() ? std::optional(std::min(pause, MaxRetryDelay)) : std::nullopt;
}

std::optional<CallOutcome> outcomeFromReport(const AttemptReport &report, const CallContext &call)
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
