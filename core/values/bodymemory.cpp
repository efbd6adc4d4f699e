// Memory that the bodies of requests and responses take in this process.

#include "core/values/bodymemory.h"

#include <atomic>
#include <limits>

namespace fescuepond
{

namespace
{

std::atomic<std::size_t> limitBytes = std::numeric_limits<std::size_t>::max();
std::atomic<std::size_t> heldBytes = 0; ///< The sum of all charges.

} // namespace

void setBodyMemoryLimit(std::size_t bytes)
{
    limitBytes = bytes;
}

std::size_t heldBodyBytes()
{
    return heldBytes;
}

BodyCharge::BodyCharge(std::size_t bytes)
    : m_bytes(bytes)
{
    heldBytes += bytes;
}

BodyCharge::~BodyCharge()
{
    heldBytes -= m_bytes;
}

bool BodyCharge::add(std::size_t bytes)
{
    m_bytes += bytes;
    const std::size_t sum = heldBytes += bytes;
    return m_bytes <= SmallBodyBytes || sum <= limitBytes;
}

} // namespace fescuepond
