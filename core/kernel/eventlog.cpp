// The event log: quoting and writing.

#include "core/kernel/eventlog.h"

#include "core/kernel/lockorder.h"

#include <chrono>
#include <cstdio>
#include <mutex>

namespace fescuepond
{

namespace
{

RankedMutex &outputMutex()
{
    static RankedMutex mutex(LockRank::EventLog);
    return mutex;
}

bool needsQuotes(const std::string &value)
{
    return value.empty() || value.find_first_of(" \t\r\n\"=") != std::string::npos;
}

std::string quoted(const std::string &value)
{
    std::string text = "\"";
    for (const char c : value) {
        if (c == '\n' || c == '\r') {
            text += "\\n";
            continue;
        }
        if (c == '"' || c == '\\') {
            text += '\\';
        }
        text += c;
    }
    return text + '"';
}

} // namespace

Event::Event(std::string_view name)
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
    m_line = fmt::format("time_ms={} event={}", millis, name);
}

Event::~Event()
{
    const std::lock_guard guard(outputMutex());
    fmt::print(stderr, "{}\n", m_line);
}

void Event::append(std::string_view key, const std::string &value)
{
    m_line += fmt::format(" {}={}", key, needsQuotes(value) ? quoted(value) : value);
}

} // namespace fescuepond
