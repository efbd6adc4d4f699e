// Random numbers that need not be secret.

#include "core/kernel/random.h"

#include <random>

namespace fescuepond
{

std::uint64_t randomWord()
{
    thread_local std::mt19937_64 generator(std::random_device{}());
    return generator();
}

double randomFraction()
{
    constexpr int MantissaBits = 53;
    constexpr int WordBits = 64;
    return static_cast<double>(randomWord() >> (WordBits - MantissaBits)) / static_cast<double>(1ULL << MantissaBits);
}

} // namespace fescuepond
