// The event log: one line of key=value pairs on standard error for each event.

#pragma once

#include <fmt/format.h>

#include <string>
#include <string_view>

namespace fescuepond
{

/// One event under construction; it is written when the object goes away.
///
///     Event("target_left").with("target", name).with("after_ms", age);
class Event
{
public:
    explicit Event(std::string_view name);
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

    std::string m_line;
};

} // namespace fescuepond
