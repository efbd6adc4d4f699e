// Classification: sets the service, kind, rank, deadline and retry allowance of a call from the declarations.

#pragma once

#include "core/values/call.h"
#include "core/values/declaration.h"

#include <variant>

namespace fescuepond
{

/// Completes the context of `call` from the declarations, or rejects it. `fraction` in [0, 1) selects the service if
/// the route splits its traffic between several.
///
/// A call that names no service gets one from the route of its host and path, and its limits from that route; if its
/// caller has set a deadline, the earlier one holds.
///
/// A root request gets rank, kept share, deadline and retry allowance from its kind. A call further downstream keeps
/// those of its root request; its own kind sets whether it is idempotent and can only shorten the deadline.
std::variant<CallRequest, CallOutcome>
classify(const CallRequest &call, const Configuration *configuration, double fraction, TimePoint now);

} // namespace fescuepond
