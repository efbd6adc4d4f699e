// Random words.

#include "core/kernel/random.h"

#include <random>

namespace fescuepond
{

std::uint64_t randomWord()
{
    thread_local std::mt19937_64 generator(std::random_device{}());
    return generator();
}

} // namespace fescuepond
