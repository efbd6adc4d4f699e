// The body of a request or answer: immutable bytes, shared by copies.

#pragma once

#include "core/values/bodymemory.h"

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
        : m_content(std::make_shared<const Content>(std::move(bytes)))
    {
    }
    /// `charge` is that of the bytes.
    Body(std::string bytes, BodyCharge charge)
        : m_content(std::make_shared<const Content>(std::move(bytes), std::move(charge)))
    {
    }

    const std::string &bytes() const
    {
        static const std::string empty;
        return m_content ? m_content->bytes : empty;
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
    struct Content {
        explicit Content(std::string content)
            : bytes(std::move(content))
            , charge(bytes.size())
        {
        }
        Content(std::string content, BodyCharge contentCharge)
            : bytes(std::move(content))
            , charge(std::move(contentCharge))
        {
        }
        const std::string bytes;
        const BodyCharge charge; ///< For as long as any copy of the body exists.
    };

    std::shared_ptr<const Content> m_content; ///< Null: empty.
};

} // namespace fescuepond
