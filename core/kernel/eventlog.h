// The event log: one line of key=value pairs on standard output for each event.
//
// Writing never blocks when standard output isn't read, and the number of lines per second is limited. Suppressed lines
// are counted by event; the counts are logged after the next line that is written.

#pragma once

#include "core/kernel/logratelimiter.h"

#include <fmt/format.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace fescuepond
{

/// Adds the node's name to all further lines and limits the lines per second; 0: no limit.
void startEventLog(std::string_view node, std::size_t linesPerSecond);

/// One event under construction; the destructor writes it, unless the limit of lines was reached when it began.
///
///     Event("target_left").with("target", name).with("after_ms", age);
class Event
{
public:
    explicit Event(std::string_view name, EventSeverity severity = EventSeverity::Failure);
    ~Event();
    Event(const Event &) = delete;
    Event &operator=(const Event &) = delete;

    template<typename T>
    Event &with(std::string_view key, const T &value)
    {
        if (m_isWritten) {
            append(key, fmt::format("{}", value));
        }
        return *this;
    }

private:
    void append(std::string_view key, const std::string &value);

    std::string m_name;
    const std::int64_t m_timeMs; ///< Of the system clock.
    const bool m_isWritten; ///< False if the limit of lines is reached: no field is formatted then.
    std::string m_line; ///< The fields added so far, each preceded by a space.
};

} // namespace fescuepond
