// Routing: which target a call goes to.

#include "servers/routing/router.h"

namespace fescuepond
{

const Member *chooseTarget(const Members &targets, std::uint64_t random)
{
    return targets.empty() ? nullptr : &targets[random % targets.size()];
}

} // namespace fescuepond
