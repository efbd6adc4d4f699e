// What the sender of an attempt does when the connection was lost: whether to ask again, and what to conclude.

#pragma once

#include "core/kernel/clock.h"
#include "core/pipeline/interfaces.h"
#include "core/values/call.h"

#include <optional>

namespace fescuepond
{

/// How long to wait before asking the target again after `failures` attempts to reach it; nothing: give up. A
/// non-idempotent call is asked about until its deadline; one that may be repeated costs less to repeat.
std::optional<Duration> settlementRetryDelay(const CallContext &call, int failures, TimePoint now);

/// The outcome of a call of which the target said `report`, or nothing while it still runs.
std::optional<CallOutcome> outcomeFromReport(const AttemptReport &report, const CallContext &call);

} // namespace fescuepond
