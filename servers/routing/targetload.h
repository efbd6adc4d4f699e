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
    FESCUEPOND_FIELD(int, reported, withReported); ///< Calls of all nodes at the target, as it last said.
    FESCUEPOND_FIELD(TimePoint, reportedAt, withReportedAt);
    FESCUEPOND_FIELD(int, failures, withFailures); ///< Calls that failed for the target's sake, in a row.
    FESCUEPOND_FIELD(int, ejections, withEjections); ///< Since it last answered.
    FESCUEPOND_FIELD(TimePoint, ejectedUntil, withEjectedUntil);
    FESCUEPOND_FIELD(TimePoint, usedAt, withUsedAt);

public:
    friend auto operator<=>(const TargetLoad &, const TargetLoad &) = default;
};

/// What an outcome says of the target.
enum class TargetVerdict {
    Good,
    Neutral, ///< A refusal that a healthy target gives.
    Doubtful, ///< Several in a row mean that the target fails.
    Failed,
};

TargetVerdict judge(const CallOutcome &outcome);

/// The load after a call was sent, and after it ended.
TargetLoad afterSend(const TargetLoad &load, TimePoint now);
TargetLoad afterOutcome(const TargetLoad &load, const CallOutcome &outcome, TimePoint now);

/// (calls in flight + 1) / limit: above 1 the next call would wait.
double utilisation(const TargetLoad &load, TimePoint now);

inline bool isEjected(const TargetLoad &load, TimePoint now)
{
    return now < load.ejectedUntil();
}

} // namespace fescuepond
