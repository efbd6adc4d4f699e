// Encoding of suspicions as messages between nodes.

#pragma once

#include "servers/quarantine/suspicion.h"

#include <optional>
#include <string>

namespace fescuepond
{

std::string encodeSuspicions(const Suspicions &suspicions);
/// Nothing if the message is malformed.
std::optional<Suspicions> decodeSuspicions(const std::string &bytes);

} // namespace fescuepond
