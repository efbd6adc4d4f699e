// Precedence between records of one node, and hashes of records.

#include "servers/membership/memberrecord.h"

#include <xxhash.h>

#include <array>
#include <tuple>

namespace fescuepond
{

namespace
{

auto precedenceOf(const Member &member)
{
    return std::tuple(member.startedAtMs(), member.incarnation(), member.sequence(), member.state());
}

} // namespace

bool overrides(const Member &candidate, const Member &known)
{
    return precedenceOf(candidate) > precedenceOf(known);
}

bool isSameIncarnation(const Member &a, const Member &b)
{
    return a.name() == b.name() && a.incarnation() == b.incarnation();
}

std::uint64_t recordHash(const Member &member)
{
    const std::array words = {nameHash(member.name()),
                              member.startedAtMs(),
                              member.incarnation().high(),
                              member.incarnation().low(),
                              member.sequence(),
                              static_cast<std::uint64_t>(member.state())};
    return XXH3_64bits(words.data(), sizeof(words));
}

std::uint64_t nameHash(std::string_view name)
{
    return XXH3_64bits(name.data(), name.size());
}

} // namespace fescuepond
