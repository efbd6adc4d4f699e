// The event log: one line of key=value pairs on standard output for each event.
//
// A line never waits for its reader, and a node writes a bounded number of them in a second. Lines that were left out
// are counted by event and told with the next line.

#pragma once

#include "core/kernel/logratelimiter.h"

#include <fmt/format.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace fescuepond
{

/// Names the node on all further lines and limits how many it writes in a second; 0: without limit.
void startEventLog(std::string_view node, std::size_t linesPerSecond);

/// One event under construction; it is written when the object goes away.
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
        append(key, fmt::format("{}", value));
        return *this;
    }

private:
    void append(std::string_view key, const std::string &value);

    std::string m_name;
    EventSeverity m_severity;
    std::string m_line; ///< What was added, each with a space before it.
};

} // namespace fescuepond
