// Memory that this process holds for its callers and backend server.

#include "core/values/bodymemory.h"

#include "core/kernel/invariant.h"

#include <atomic>
#include <limits>
#include <utility>

namespace fescuepond
{

namespace
{

constexpr std::size_t Unlimited = std::numeric_limits<std::size_t>::max();

std::atomic<std::size_t> largeLimitBytes = Unlimited;
std::atomic<std::size_t> heldBytes = 0; ///< The sum of all charges.
std::atomic<std::size_t> heldLargeBytes = 0; ///< The sum of the large ones.
std::atomic<std::uint64_t> rejections = 0;

bool isLarge(std::size_t chargeBytes)
{
    return chargeBytes > SmallBodyBytes;
}

bool addWithin(std::atomic<std::size_t> &sum, std::size_t bytes, std::size_t limit)
{
    std::size_t before = sum;
    do {
        if (bytes > limit || before > limit - bytes) {
            return false;
        }
    } while (!sum.compare_exchange_weak(before, before + bytes));
    return true;
}

/// How much a charge of this size counts as large.
std::size_t largePart(std::size_t chargeBytes)
{
    return isLarge(chargeBytes) ? chargeBytes : 0;
}

} // namespace

void setBodyMemoryLimit(std::size_t bytes)
{
    largeLimitBytes = bytes;
}

std::size_t heldBodyBytes()
{
    return heldBytes;
}

std::uint64_t rejectedBodyCharges()
{
    return rejections;
}

BodyCharge::BodyCharge(std::size_t bytes)
    : m_bytes(bytes)
{
    heldBytes += bytes;
    heldLargeBytes += largePart(bytes);
}

BodyCharge::~BodyCharge()
{
    release(m_bytes);
}

BodyCharge::BodyCharge(BodyCharge &&other) noexcept
    : m_bytes(std::exchange(other.m_bytes, 0))
{
}

BodyCharge &BodyCharge::operator=(BodyCharge &&other) noexcept
{
    std::swap(m_bytes, other.m_bytes);
    return *this;
}

bool BodyCharge::add(std::size_t bytes)
{
    const std::size_t largeLimit = largeLimitBytes;
    const std::size_t totalLimit = largeLimit <= Unlimited / 2 ? 2 * largeLimit : Unlimited;
    const std::size_t largeBytes = largePart(m_bytes + bytes) - largePart(m_bytes);
    if (!addWithin(heldLargeBytes, largeBytes, largeLimit)) {
        ++rejections;
        return false;
    }
    if (!addWithin(heldBytes, bytes, totalLimit)) {
        heldLargeBytes -= largeBytes;
        ++rejections;
        return false;
    }
    m_bytes += bytes;
    return true;
}

void BodyCharge::release(std::size_t bytes)
{
    invariant(bytes <= m_bytes, "a charge releases no more than it has");
    heldLargeBytes -= largePart(m_bytes) - largePart(m_bytes - bytes);
    heldBytes -= bytes;
    m_bytes -= bytes;
}

} // namespace fescuepond
