// 128-bit identifiers with a distinct type for each purpose.

#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace fescuepond
{

namespace detail
{
/// The two halves of an identifier.
struct WordPair {
    std::uint64_t high;
    std::uint64_t low;
};
/// Random words from the system's entropy source, unique across processes.
WordPair randomWords();
std::string toHex(std::uint64_t high, std::uint64_t low);
bool parseHex(std::string_view text, std::uint64_t &high, std::uint64_t &low);
}

/// An identifier. `Tag` only makes identifiers of different things distinct types. Zero means "none".
template<typename Tag>
class Id
{
public:
    constexpr Id() = default;
    constexpr Id(std::uint64_t high, std::uint64_t low)
        : m_high(high)
        , m_low(low)
    {
    }

    static Id random()
    {
        const detail::WordPair words = detail::randomWords();
        return Id(words.high, words.low);
    }
    /// Parses 32 hexadecimal digits.
    static std::optional<Id> parse(std::string_view text)
    {
        Id id;
        return detail::parseHex(text, id.m_high, id.m_low) ? std::optional(id) : std::nullopt;
    }

    std::uint64_t high() const
    {
        return m_high;
    }
    std::uint64_t low() const
    {
        return m_low;
    }
    bool isNone() const
    {
        return m_high == 0 && m_low == 0;
    }
    std::string toString() const
    {
        return detail::toHex(m_high, m_low);
    }

    friend auto operator<=>(const Id &, const Id &) = default;

private:
    std::uint64_t m_high = 0;
    std::uint64_t m_low = 0;
};

/// One call of one service, including all attempts to run it.
using CallId = Id<struct CallTag>;
/// The root request, received from outside the service graph, for which a call is made.
using RootId = Id<struct RootTag>;
/// One transmission of a call to one target.
using AttemptId = Id<struct AttemptTag>;
/// One run of a node's process.
using Incarnation = Id<struct IncarnationTag>;

} // namespace fescuepond

template<typename Tag>
struct std::hash<fescuepond::Id<Tag>> {
    std::size_t operator()(const fescuepond::Id<Tag> &id) const noexcept
    {
        return static_cast<std::size_t>(id.low() ^ (id.high() * 0x9E3779B97F4A7C15ULL));
    }
};
