// Classification: what the declarations say of a call.

#pragma once

#include "core/values/call.h"
#include "core/values/declaration.h"

#include <variant>

namespace fescuepond
{

/// Completes the context of `call` from the declarations, or refuses it. `fraction`, from 0 to below 1, says which part
/// of a route's requests it belongs to.
///
/// A call that names no service takes one from the route of its host and path, and its limits from that route; where
/// its caller has set a deadline, the earlier one holds.
///
/// A root request takes rank, share, deadline and allowance from its kind. A call further down keeps those of its
/// root request; its own kind says whether it is idempotent and may only shorten the deadline.
std::variant<CallRequest, CallOutcome>
classify(const CallRequest &call, const Configuration *configuration, double fraction, TimePoint now);

} // namespace fescuepond
