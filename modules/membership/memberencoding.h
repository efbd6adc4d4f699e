// Encoding of member records, and of the departures that their node has acknowledged, as JSON for objects at the
// platform.

#pragma once

#include "core/values/departure.h"
#include "core/values/member.h"

#include <optional>
#include <string>

namespace fescuepond
{

std::string toJson(const Member &member, const Departures &departures = {});
/// Empty if the text is not a valid member record.
std::optional<Member> memberFromJson(const std::string &text);
/// Those that can be read, also if the record itself can't.
Departures departuresFromJson(const std::string &text);

} // namespace fescuepond
