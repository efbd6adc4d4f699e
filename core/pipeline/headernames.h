// Names of the HTTP headers that the system interprets.

#pragma once

#include <string_view>

namespace fescuepond::header
{

/// Prefix of the system's own headers; they are removed from requests received by the front listener.
constexpr std::string_view InternalPrefix = "x-fescuepond-";
/// Call identifier: sent to the backend server with a request and copied by it to the calls that it makes.
constexpr std::string_view Call = "X-Fescuepond-Call";
/// State of the call: answered, not-run or outcome-unknown.
constexpr std::string_view Outcome = "X-Fescuepond-Outcome";
/// Why a call was not answered.
constexpr std::string_view Reason = "X-Fescuepond-Reason";
/// Ticket for a future non-idempotent request, issued by a node with every answer.
constexpr std::string_view Ticket = "X-Fescuepond-Ticket";
/// Key for a non-idempotent request, chosen by the caller.
constexpr std::string_view IdempotencyKey = "Idempotency-Key";

/// A request to the front listener for this path returns tickets, one per line; `?count=N` requests several.
constexpr std::string_view TicketsPath = "/.fescuepond/tickets";

} // namespace fescuepond::header
