// Fits the phases of a planned stop into the time limit.

#include "core/settings/stopplan.h"

#include <algorithm>

namespace fescuepond
{

namespace
{
/// Reserved for stopping the plug-ins and joining threads afterwards.
constexpr Milliseconds ShutdownReserve(800);
/// Maximum fraction of the available time for the phase in which new work is still accepted. Finishing the work in
/// flight needs the larger part.
constexpr double MaxGraceFraction = 0.45;
} // namespace

StopPlan stopPlan(const NodeSettings &settings)
{
    if (settings.stopLimit() <= Seconds::zero()) {
        return {settings.leaveGrace(), settings.drainTimeout()};
    }
    const auto limit = std::chrono::duration_cast<Milliseconds>(settings.stopLimit());
    const Milliseconds available = std::max(limit - ShutdownReserve, limit / 2);
    const auto maxGrace = std::chrono::duration_cast<Milliseconds>(available * MaxGraceFraction);
    const Milliseconds grace = std::min(settings.leaveGrace(), maxGrace);
    return {grace, std::min(settings.drainTimeout(), available - grace)};
}

} // namespace fescuepond
