// Routing: which target a call goes to.

#pragma once

#include "core/values/call.h"
#include "core/values/member.h"

#include <cstdint>

namespace fescuepond
{

/// Chooses one of `targets` by `random`; null when there is none.
const Member *chooseTarget(const Members &targets, std::uint64_t random);

} // namespace fescuepond
