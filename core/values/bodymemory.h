// Memory that this process holds for its callers and backend server, and the limits on it.
//
// Callers and backend servers can send as fast as the network takes it, on many connections at once, and read as slowly
// as they like, so a limit for each body doesn't bound their sum. Whatever is held for them is charged before it is
// taken in, and rejected if the sum would exceed a limit. Large charges together take half of what all may take, so
// that senders and readers of large bodies don't end the calls of others.

#pragma once

#include <cstddef>
#include <cstdint>

namespace fescuepond
{

/// What one charge has at most to count as small, in bytes.
constexpr std::size_t SmallBodyBytes = 65'536;

/// Sets the limit on the sum of the large charges, in bytes; the limit on the sum of all is twice that. Without a call
/// there is none.
void setBodyMemoryLimit(std::size_t bytes);
/// Sum of all charges.
std::size_t heldBodyBytes();
/// How often a charge was rejected so far.
std::uint64_t rejectedBodyCharges();

/// Bytes that count towards heldBodyBytes() until they are released.
class BodyCharge
{
public:
    BodyCharge() = default;
    /// Charges `bytes` whatever the sum is.
    explicit BodyCharge(std::size_t bytes);
    ~BodyCharge();
    BodyCharge(BodyCharge &&other) noexcept;
    BodyCharge &operator=(BodyCharge &&other) noexcept;
    BodyCharge(const BodyCharge &) = delete;
    BodyCharge &operator=(const BodyCharge &) = delete;

    std::size_t bytes() const
    {
        return m_bytes;
    }
    /// Adds bytes, or nothing if a sum would exceed its limit; returns whether it did.
    [[nodiscard]] bool add(std::size_t bytes);
    /// Releases `bytes` of the charge; it must have as many.
    void release(std::size_t bytes);

private:
    std::size_t m_bytes = 0; ///< Part of heldBodyBytes().
};

} // namespace fescuepond
