// Counts allocations from the heap, so that tests can bound the work of a decision without measuring time.

#pragma once

#include <cstddef>

namespace fescuepond::test
{

/// How many times the calling thread has allocated memory with operator new so far.
std::size_t allocationsOfThisThread();

} // namespace fescuepond::test
