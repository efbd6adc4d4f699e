// How many lines the event log may write in a second, and how many it left out.
//
// A flood of failures must not cost more than the work that it tells of. Routine lines, of successes, get half of the
// limiter at most, so that failures and changes of what the node believes always find room beside them.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace fescuepond
{

enum class EventSeverity {
    Routine,
    Failure,
};

class LogRateLimiter
{
public:
    /// Lines a second; 0: without limit.
    explicit LogRateLimiter(std::size_t linesPerSecond);

    /// Whether a line may be written at `nowMs`; one that may not is counted under its event.
    bool allow(std::string_view event, EventSeverity severity, std::int64_t nowMs);
    /// Counts a line that was lost for another reason.
    void countSuppressed(std::string_view event);
    /// The lines left out since the last call, by event.
    std::map<std::string, std::size_t> takeSuppressed();

private:
    std::size_t m_linesPerSecond;
    std::int64_t m_second = 0;
    std::size_t m_written = 0; ///< In the current second.
    std::map<std::string, std::size_t> m_suppressed;
};

} // namespace fescuepond
