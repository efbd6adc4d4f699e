// Identifiers: random values and the hexadecimal text form.

#include "core/values/id.h"

#include "core/kernel/invariant.h"

#include <fmt/format.h>

#include <sys/random.h>

#include <array>
#include <charconv>

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

/// Random words buffered per thread: one system call fetches many, since a system call per word would dominate the cost
/// of creating an identifier.
class RandomPool
{
public:
    std::uint64_t take()
    {
        if (m_next == m_words.size()) {
            fill();
        }
        return m_words[m_next++];
    }

private:
    void fill()
    {
        // Reads of up to 256 bytes are never interrupted by signals; see getrandom(2).
        const auto count = ::getrandom(m_words.data(), sizeof(m_words), 0);
        invariant(count == static_cast<ssize_t>(sizeof(m_words)), "getrandom() returns the requested number of bytes");
        m_next = 0;
    }

    std::array<std::uint64_t, 32> m_words{};
    std::size_t m_next = m_words.size(); ///< Words before this index have been used.
};

} // namespace

WordPair randomWords()
{
    thread_local RandomPool pool;
    const std::uint64_t high = pool.take();
    return {high, pool.take()};
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
