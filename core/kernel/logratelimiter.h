// Limits the lines per second of the event log and counts the suppressed ones.
//
// During a flood of failures, logging must not cost more than the calls that are logged. Routine lines, those of
// successes, get at most half of the limit, so that failures and state changes can still be logged.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace fescuepond
{

enum class EventSeverity {
    Routine, ///< A successful operation.
    Failure, ///< A failure or a state change.
};

class LogRateLimiter
{
public:
    /// 0: no limit.
    explicit LogRateLimiter(std::size_t linesPerSecond);

    /// Whether a line may be written at `nowMs`; if not, it is counted as suppressed.
    bool allow(std::string_view event, EventSeverity severity, std::int64_t nowMs);
    /// Counts a line that was not written for another reason.
    void countSuppressed(std::string_view event);
    /// The number of suppressed lines by event since the last call.
    std::map<std::string, std::size_t> takeSuppressed();

private:
    std::size_t m_linesPerSecond;
    std::int64_t m_second = 0;
    std::size_t m_written = 0; ///< In the current second.
    std::map<std::string, std::size_t> m_suppressed;
};

} // namespace fescuepond
