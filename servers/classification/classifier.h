// Classification: what the declarations say of a call.

#pragma once

#include "core/values/call.h"
#include "core/values/declaration.h"

#include <variant>

namespace fescuepond
{

/// Completes the context of `call` from the declarations, or refuses it.
///
/// A root request takes rank, share, deadline and allowance from its kind. A call further down keeps those of its
/// root request; its own kind says whether it is idempotent and may only shorten the deadline.
std::variant<CallRequest, CallOutcome>
classify(const CallRequest &call, const Configuration *configuration, TimePoint now);

} // namespace fescuepond
