// Limits the lines of the event log in each second of the clock.

#include "core/kernel/logratelimiter.h"

#include <utility>

namespace fescuepond
{

namespace
{
constexpr std::int64_t SecondMs = 1000;
constexpr std::size_t RoutineDivisor = 2; ///< Routine lines may use the limit divided by this.
} // namespace

LogRateLimiter::LogRateLimiter(std::size_t linesPerSecond)
    : m_linesPerSecond(linesPerSecond)
{
}

bool LogRateLimiter::allow(std::string_view event, EventSeverity severity, std::int64_t nowMs)
{
    const std::int64_t second = nowMs / SecondMs;
    if (second != m_second) {
        m_second = second;
        m_written = 0;
    }
    const std::size_t allowed =
        severity == EventSeverity::Routine ? m_linesPerSecond / RoutineDivisor : m_linesPerSecond;
    if (m_linesPerSecond > 0 && m_written >= allowed) {
        countSuppressed(event);
        return false;
    }
    ++m_written;
    return true;
}

void LogRateLimiter::countSuppressed(std::string_view event)
{
    ++m_suppressed[std::string(event)];
}

std::map<std::string, std::size_t> LogRateLimiter::takeSuppressed()
{
    return std::exchange(m_suppressed, {});
}

} // namespace fescuepond
