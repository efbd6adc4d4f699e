// The order of a node's records, and hashes of them that all nodes agree on.

#pragma once

#include "core/values/member.h"

#include <cstdint>
#include <string_view>

namespace fescuepond
{

/// Whether `candidate` is a later record of the same node than `known`. A later start overrides, whatever the sequence;
/// within one life the sequence counts, which only the node itself raises, and then the state.
bool overrides(const Member &candidate, const Member &known);

/// Whether the two records are of one life of one node.
bool isSameIncarnation(const Member &a, const Member &b);

/// A hash of everything that orders records.
std::uint64_t recordHash(const Member &member);

std::uint64_t nameHash(std::string_view name);

} // namespace fescuepond
