// Fits the steps of a planned stop into the time that there is.

#include "core/settings/stopplan.h"

#include <algorithm>

namespace fescuepond
{

namespace
{
/// Left for what comes after the steps: plug-ins stop, threads end.
constexpr Milliseconds ShutdownReserve(800);
/// Most of the time that new work may still be taken: work in flight needs the longer part.
constexpr double MaxGraceFraction = 0.45;
} // namespace

StopPlan stopPlan(const NodeSettings &settings)
{
    if (settings.stopLimit() <= Seconds::zero()) {
        return {settings.leaveGrace(), settings.drainTimeout()};
    }
    const auto limit = std::chrono::duration_cast<Milliseconds>(settings.stopLimit());
    const Milliseconds steps = std::max(limit - ShutdownReserve, limit / 2);
    const auto longestGrace = std::chrono::duration_cast<Milliseconds>(steps * MaxGraceFraction);
    const Milliseconds grace = std::min(settings.leaveGrace(), longestGrace);
    return {grace, std::min(settings.drainTimeout(), steps - grace)};
}

} // namespace fescuepond
