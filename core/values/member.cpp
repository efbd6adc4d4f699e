// Members of the fleet: names of their states.

#include "core/values/member.h"

#include <array>
#include <cstddef>

namespace fescuepond
{

const char *toString(MemberState state)
{
    static constexpr std::array Names = {"alive", "suspect", "leaving", "dead"};
    return Names.at(static_cast<std::size_t>(state));
}

} // namespace fescuepond
