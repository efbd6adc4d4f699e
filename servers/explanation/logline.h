// Parses lines of the event log.

#pragma once

#include "core/value.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescuepond
{

class LogLine
{
    FESCUEPOND_FIELD(std::int64_t, timeMs, withTimeMs); ///< Since the epoch, by the clock of the node.
    FESCUEPOND_FIELD(std::string, text, withText); ///< The whole line as read, including any text before `time_ms=`.

    using Fields = std::map<std::string, std::string>;
    FESCUEPOND_FIELD(Fields, fields, withFields); ///< Values without quotes.

public:
    /// The value of a field; empty if the line doesn't have it.
    std::string field(const std::string &key) const;
    std::string event() const
    {
        return field("event");
    }
    friend auto operator<=>(const LogLine &, const LogLine &) = default;
};

using LogLines = std::vector<LogLine>;

/// Parses a line; empty if it isn't an event. Text before `time_ms=` is skipped: log collectors prepend their own.
std::optional<LogLine> parseLogLine(std::string_view text);

} // namespace fescuepond
