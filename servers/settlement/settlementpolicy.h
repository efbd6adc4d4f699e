// Decisions of an attempt's sender after a lost connection: whether to ask the target again, and what the outcome is.

#pragma once

#include "core/kernel/clock.h"
#include "core/pipeline/interfaces.h"
#include "core/values/call.h"

#include <optional>

namespace fescuepond
{

/// Delay before the target is asked again, after `failures` failed requests; nothing if the sender gives up. For a
/// non-idempotent call the sender asks until the deadline. An idempotent call is given up early, since
/// retrying it costs less.
std::optional<Duration> settlementRetryDelay(const CallContext &call, int failures, TimePoint now);

/// The outcome that follows from the target's report; nothing while the call is still running.
std::optional<CallOutcome> outcomeFromReport(const AttemptReport &report, const CallContext &call);

} // namespace fescuepond
