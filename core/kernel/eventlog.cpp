// The event log: quoting and writing.

#include "core/kernel/eventlog.h"

#include "core/kernel/lockorder.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <utility>

namespace fescuepond
{

namespace
{

RankedMutex &outputMutex()
{
    static RankedMutex mutex(LockRank::EventLog);
    return mutex;
}

/// A pipe that polls as writable takes so many bytes without blocking, less what a notice of dropped lines needs.
constexpr std::size_t LongestLine = 4000;

std::int64_t nowMs()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

/// Whether a line can be written without waiting for its reader.
bool takesLine()
{
    pollfd output = {STDOUT_FILENO, POLLOUT, 0};
    return ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
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
    m_line = fmt::format("time_ms={} event={}", nowMs(), name);
}

Event::~Event()
{
    m_line.resize(std::min(m_line.size(), LongestLine));
    m_line += '\n';
    const std::lock_guard guard(outputMutex());
    static std::size_t dropped = 0;
    if (!takesLine()) {
        ++dropped;
        return;
    }
    if (dropped > 0) {
        m_line += fmt::format("time_ms={} event=log_lines_dropped count={}\n", nowMs(), std::exchange(dropped, 0));
    }
    // What the reader has no room for is counted as dropped above; a failed write has nowhere to be told.
    [[maybe_unused]] const auto written = ::write(STDOUT_FILENO, m_line.data(), m_line.size());
}

void Event::append(std::string_view key, const std::string &value)
{
    m_line += fmt::format(" {}={}", key, needsQuotes(value) ? quoted(value) : value);
}

} // namespace fescuepond
