// Replaces operator new of the test program by one that counts.

#include "tests/support/allocationcount.h"

#include <cstdlib>
#include <new>

namespace
{
thread_local std::size_t allocations = 0;
}

namespace fescuepond::test
{

std::size_t allocationsOfThisThread()
{
    return allocations;
}

} // namespace fescuepond::test

void *operator new(std::size_t size)
{
    ++allocations;
    // malloc() may return null for no bytes.
    if (void *memory = std::malloc(size == 0 ? 1 : size)) {
        return memory;
    }
    throw std::bad_alloc();
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    std::free(memory);
}
