// Random words for choices that need no secrecy, such as which peer to ask.

#pragma once

#include <cstdint>

namespace fescuepond
{

/// 64 random bits, from a generator of the calling thread that the system's random source has seeded.
std::uint64_t randomWord();

/// Evenly from 0 to below 1.
double randomFraction();

} // namespace fescuepond
