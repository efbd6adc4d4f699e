// Memory that the bodies of requests and responses take in this process, and the limit on it.
//
// A backend server or a caller can send a body as fast as the network takes it, on many connections at once, so a limit
// for each body doesn't bound their sum. Reading of a large body is given up if the sum is over the limit; small bodies
// are read in any case, so that one sender of large ones doesn't end the others' calls.

#pragma once

#include <cstddef>

namespace fescuepond
{

/// A body of at most this size is read whatever the sum is, in bytes.
constexpr std::size_t SmallBodyBytes = 65'536;

/// Sets the limit for the whole process, in bytes. Without a call there is none.
void setBodyMemoryLimit(std::size_t bytes);
/// Bytes of all bodies that are held or being read.
std::size_t heldBodyBytes();

/// Bytes that count towards heldBodyBytes() until they are released.
class BodyCharge
{
public:
    BodyCharge() = default;
    explicit BodyCharge(std::size_t bytes);
    ~BodyCharge();
    BodyCharge(const BodyCharge &) = delete;
    BodyCharge &operator=(const BodyCharge &) = delete;

    /// Adds bytes; returns false if the body is large and the sum is over the limit. Its reader then gives it up.
    [[nodiscard]] bool add(std::size_t bytes);

private:
    std::size_t m_bytes = 0; ///< Part of heldBodyBytes().
};

} // namespace fescuepond
