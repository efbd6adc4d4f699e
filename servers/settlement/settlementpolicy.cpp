// Decisions of an attempt's sender after a lost connection.

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
    Duration delay = InitialRetryDelay;
    for (int i = 1; i < failures && delay < MaxRetryDelay; ++i) {
        delay *= 2;
    }
    return now + delay < call.deadline() ? std::optional(std::min(delay, MaxRetryDelay)) : std::nullopt;
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
    return CallOutcome::unknown(Reason::ConnectionLost, "the target no longer has a record of the call");
}

} // namespace fescuepond
