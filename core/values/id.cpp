// Identifiers: random values and their text form.

#include "core/values/id.h"

#include <fmt/format.h>

#include <charconv>
#include <random>

namespace fescuepond::detail
{

namespace
{

constexpr std::size_t WordDigits = 16;

bool parseWord(std::string_view digits, std::uint64_t &word)
{
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), word, 16);
    return error == std::errc() && end == digits.data() + digits.size();
}

} // namespace

WordPair randomWords()
{
    thread_local std::random_device device;
    const auto word = [] {
        return (static_cast<std::uint64_t>(device()) << 32) | device();
    };
    return {word(), word()};
}

std::string toHex(std::uint64_t high, std::uint64_t low)
{
    return fmt::format("{:016x}{:016x}", high, low);
}

bool parseHex(std::string_view text, std::uint64_t &high, std::uint64_t &low)
{
    return text.size() == 2 * WordDigits && parseWord(text.substr(0, WordDigits), high)
        && parseWord(text.substr(WordDigits), low);
}

} // namespace fescuepond::detail
