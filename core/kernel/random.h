// Random numbers that need not be secret, for choices such as which peer to contact.

#pragma once

#include <cstdint>

namespace fescuepond
{

/// 64 random bits from a generator per thread, seeded from the system's entropy source.
std::uint64_t randomWord();

/// Uniformly distributed in [0, 1).
double randomFraction();

} // namespace fescuepond
