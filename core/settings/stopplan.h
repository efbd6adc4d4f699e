// How long the steps of a planned stop may take.

#pragma once

#include "core/settings/nodesettings.h"

namespace fescuepond
{

struct StopPlan {
    Milliseconds leaveGrace; ///< New work is still taken.
    Milliseconds drainTimeout; ///< Longest wait for the work in flight after that.
};

/// The steps of the settings, cut so that the node has ended before it is killed.
StopPlan stopPlan(const NodeSettings &settings);

} // namespace fescuepond
