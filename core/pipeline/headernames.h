// Names of the HTTP headers that have a meaning for the system.

#pragma once

#include <string_view>

namespace fescuepond::header
{

/// Every header whose name starts so is the system's own; those of a front request are removed.
constexpr std::string_view InternalPrefix = "x-fescuepond-";
/// Call identifier: given to the backend server with a request, copied by it to the calls that it makes.
constexpr std::string_view Call = "X-Fescuepond-Call";
/// How the call ended: answered, not-run or outcome-unknown.
constexpr std::string_view Outcome = "X-Fescuepond-Outcome";
/// Why a call was not answered.
constexpr std::string_view Reason = "X-Fescuepond-Reason";
/// Ticket for a non-idempotent request, issued by a node with every answer.
constexpr std::string_view Ticket = "X-Fescuepond-Ticket";
/// Key for a non-idempotent request, chosen by the caller.
constexpr std::string_view IdempotencyKey = "Idempotency-Key";

/// A front request for this path issues tickets, one a line; `?count=N` asks for several.
constexpr std::string_view TicketsPath = "/.fescuepond/tickets";

} // namespace fescuepond::header
