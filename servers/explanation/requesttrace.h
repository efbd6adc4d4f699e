// Traces one request through the logs of all nodes: collects its lines and finds the one that decided its outcome.

#pragma once

#include "servers/explanation/logline.h"

#include <cstddef>
#include <optional>

namespace fescuepond
{

class RequestTrace
{
    FESCUEPOND_FIELD(LogLines, lines, withLines); ///< Ordered by time.
    /// Index of the line that shows why the request failed; empty if it succeeded or no such line was found.
    FESCUEPOND_FIELD(std::optional<std::size_t>, decidingLine, withDecidingLine);
    FESCUEPOND_FIELD(std::string, cause, withCause); ///< One sentence.
    /// Whether the lines include the completion of the request and, if it failed, the cause.
    FESCUEPOND_FIELD(bool, isComplete, withIsComplete);

public:
    friend auto operator<=>(const RequestTrace &, const RequestTrace &) = default;
};

/// Traces the request whose attempt ID is `id`.
///
/// Calls made on behalf of the request share its root ID. Where a backend server's calls don't name their parent, a
/// call that failed at the same node while the request was running is taken as the likely cause.
RequestTrace traceRequest(const LogLines &lines, const std::string &id);

} // namespace fescuepond
