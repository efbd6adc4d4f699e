// Encoding of member records as JSON, for objects at the platform.

#pragma once

#include "core/values/member.h"

#include <optional>
#include <string>

namespace fescuepond
{

std::string toJson(const Member &member);
/// Empty if the text is not a valid member record.
std::optional<Member> memberFromJson(const std::string &text);

} // namespace fescuepond
