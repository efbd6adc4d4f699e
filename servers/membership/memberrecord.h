// Precedence between records of one node, and hashes of records that are the same on all nodes.

#pragma once

#include "core/values/member.h"

#include <cstdint>
#include <string_view>

namespace fescuepond
{

/// Whether `candidate` overrides `known`, a record of the same node. A later start wins regardless of the sequence.
/// Within one incarnation the higher sequence wins, which only the node itself raises, then the greater state.
bool overrides(const Member &candidate, const Member &known);

/// Whether both records come from the same incarnation of the same node.
bool isSameIncarnation(const Member &a, const Member &b);

/// A hash of the fields that decide precedence.
std::uint64_t recordHash(const Member &member);

std::uint64_t nameHash(std::string_view name);

} // namespace fescuepond
