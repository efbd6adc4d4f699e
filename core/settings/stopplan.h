// The durations of the phases of a planned stop.

#pragma once

#include "core/settings/nodesettings.h"

namespace fescuepond
{

struct StopPlan {
    Milliseconds leaveGrace; ///< Phase in which new work is still accepted.
    Milliseconds drainTimeout; ///< Maximum wait for the work in flight after that.
};

/// The durations in the settings, shortened if necessary so that the node has stopped before the setting `stop_limit_s`
/// expires and the process is killed.
StopPlan stopPlan(const NodeSettings &settings);

} // namespace fescuepond
