// One line of the event log, read back.

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
    FESCUEPOND_FIELD(std::string, text, withText); ///< As it was read, with whatever stood before the time.

    using Fields = std::map<std::string, std::string>;
    FESCUEPOND_FIELD(Fields, fields, withFields); ///< Without quotes.

public:
    /// The value of a field; empty when the line has none.
    std::string field(const std::string &key) const;
    std::string event() const
    {
        return field("event");
    }
    friend auto operator<=>(const LogLine &, const LogLine &) = default;
};

using LogLines = std::vector<LogLine>;

/// Reads a line; nothing when it isn't one of the event log. Text before `time_ms=` is passed over, as collectors of
/// logs put their own there.
std::optional<LogLine> parseLogLine(std::string_view text);

} // namespace fescuepond
