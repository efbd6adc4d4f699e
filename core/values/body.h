// The body of a request or answer: immutable bytes, shared by copies.

#pragma once

#include <compare>
#include <cstdint>
#include <memory>
#include <string>

namespace fescuepond
{

class Body
{
public:
    Body() = default;
    explicit Body(std::string bytes)
        : m_bytes(std::make_shared<const std::string>(std::move(bytes)))
    {
    }

    const std::string &bytes() const
    {
        static const std::string empty;
        return m_bytes ? *m_bytes : empty;
    }
    std::size_t size() const
    {
        return bytes().size();
    }
    /// A digest with which a receiver verifies that the body arrived complete and unchanged.
    std::uint64_t digest() const;

    friend bool operator==(const Body &a, const Body &b)
    {
        return a.bytes() == b.bytes();
    }
    friend std::strong_ordering operator<=>(const Body &a, const Body &b)
    {
        return a.bytes() <=> b.bytes();
    }

private:
    std::shared_ptr<const std::string> m_bytes; ///< Null: empty.
};

} // namespace fescuepond
