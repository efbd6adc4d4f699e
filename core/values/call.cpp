// Calls: construction, classification and names of outcomes.

#include "core/values/call.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace fescuepond
{

CallOutcome CallOutcome::notRun(Reason reason, std::string detail)
{
    return CallOutcome().withState(CallState::NotRun).withReason(reason).withDetail(std::move(detail));
}

CallOutcome CallOutcome::unknown(Reason reason, std::string detail)
{
    return CallOutcome().withState(CallState::OutcomeUnknown).withReason(reason).withDetail(std::move(detail));
}

bool isServerError(const CallOutcome &outcome)
{
    return outcome.state() == CallState::Answered && outcome.status() >= MinServerErrorStatus;
}

bool isSuccess(const CallOutcome &outcome)
{
    return outcome.state() == CallState::Answered && outcome.status() < MinServerErrorStatus;
}

double minHeadroom(double a, double b)
{
    return a > 0 && b > 0 ? std::min(a, b) : std::max(a, b);
}

const char *toString(CallState state)
{
    static constexpr std::array Names = {"answered", "not-run", "outcome-unknown"};
    return Names.at(static_cast<std::size_t>(state));
}

const char *toString(Reason reason)
{
    static constexpr std::array Names = {"none",
                                         "bad-request",
                                         "unknown-service",
                                         "unknown-kind",
                                         "no-configuration",
                                         "no-target",
                                         "overload",
                                         "deadline-exceeded",
                                         "leaving",
                                         "quarantined",
                                         "connection-lost",
                                         "backend-unreachable",
                                         "backend-lost",
                                         "answer-lost",
                                         "backend-busy",
                                         "unknown-route",
                                         "key-too-old",
                                         "key-home-gone",
                                         "platform-unavailable",
                                         "cancelled",
                                         "failed-below",
                                         "internal"};
    return Names.at(static_cast<std::size_t>(reason));
}

} // namespace fescuepond
