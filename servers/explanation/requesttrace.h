// The trace of one request: the lines of all nodes that tell of it, and the one that decided how it ended.

#pragma once

#include "servers/explanation/logline.h"

#include <cstddef>
#include <optional>

namespace fescuepond
{

class RequestTrace
{
    FESCUEPOND_FIELD(LogLines, lines, withLines); ///< In order of time.
    FESCUEPOND_FIELD(std::optional<std::size_t>,
                     decidingLine,
                     withDecidingLine); ///< Index of the line that decided the end.
    FESCUEPOND_FIELD(std::string, cause, withCause); ///< One text.
    /// Whether the end of the request and its cause are among the lines.
    FESCUEPOND_FIELD(bool, isComplete, withIsComplete);

public:
    friend auto operator<=>(const RequestTrace &, const RequestTrace &) = default;
};

/// Tells the trace of the request whose attempt is named `id`.
///
/// Calls that were made for it are found by their root. Where a backend server's calls don't name their parent, those
/// that failed while the request ran at its node are taken as the likely cause.
RequestTrace traceRequest(const LogLines &lines, const std::string &id);

} // namespace fescuepond
