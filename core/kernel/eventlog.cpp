// The event log: quoting of values and writing of lines.

#include "core/kernel/eventlog.h"

#include "core/kernel/lockorder.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <mutex>

namespace fescuepond
{

namespace
{

/// State shared by all events. Access needs the mutex.
struct Output {
    RankedMutex m_mutex{LockRank::EventLog};
    std::string m_node; ///< The field "node" as it is written on each line; empty until the log is started.
    LogRateLimiter m_rateLimiter{0};
};

Output &output()
{
    static Output shared;
    return shared;
}

/// A pipe that polls as writable accepts a page (4096 bytes) without blocking. The rest of the page is left for the
/// counts of suppressed lines, which are short and few.
constexpr std::size_t MaxLineBytes = 3000;

std::int64_t nowMs()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

/// Whether the limit of lines admits another line; if not, counts it as suppressed.
bool isAllowed(std::string_view event, EventSeverity severity, std::int64_t timeMs)
{
    Output &shared = output();
    const std::lock_guard guard(shared.m_mutex);
    return shared.m_rateLimiter.allow(event, severity, timeMs);
}

/// Whether a line can be written to standard output without blocking.
bool canWriteLine()
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

void startEventLog(std::string_view node, std::size_t linesPerSecond)
{
    Output &shared = output();
    const std::lock_guard guard(shared.m_mutex);
    shared.m_node = node.empty() ? std::string() : fmt::format(" node={}", node);
    shared.m_rateLimiter = LogRateLimiter(linesPerSecond);
}

Event::Event(std::string_view name, EventSeverity severity)
    : m_name(name)
    , m_timeMs(nowMs())
    , m_isWritten(isAllowed(name, severity, m_timeMs))
{
}

Event::~Event()
{
    if (!m_isWritten) {
        return;
    }
    Output &shared = output();
    const std::lock_guard guard(shared.m_mutex);
    if (!canWriteLine()) {
        shared.m_rateLimiter.countSuppressed(m_name);
        return;
    }
    std::string text = fmt::format("time_ms={}{} event={}{}", m_timeMs, shared.m_node, m_name, m_line);
    text.resize(std::min(text.size(), MaxLineBytes));
    text += '\n';
    for (const auto &[event, count] : shared.m_rateLimiter.takeSuppressed()) {
        text += fmt::format(
            "time_ms={}{} event=log_lines_suppressed of={} count={}\n", m_timeMs, shared.m_node, event, count);
    }
    // A line that would block was counted as suppressed above; there is nowhere to report a write that fails.
    [[maybe_unused]] const auto written = ::write(STDOUT_FILENO, text.data(), text.size());
}

void Event::append(std::string_view key, const std::string &value)
{
    m_line += fmt::format(" {}={}", key, needsQuotes(value) ? quoted(value) : value);
}

} // namespace fescuepond
