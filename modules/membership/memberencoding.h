// Member records as the text of platform objects.

#pragma once

#include "core/values/member.h"

#include <optional>
#include <string>

namespace fescuepond
{

std::string toJson(const Member &member);
/// Nothing when the text is not a member record.
std::optional<Member> memberFromJson(const std::string &text);

} // namespace fescuepond
