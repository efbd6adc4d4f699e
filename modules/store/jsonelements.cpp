// Splits a JSON array without decoding its elements.

#include "modules/store/jsonelements.h"

#include <Poco/Exception.h>

#include <algorithm>
#include <cstddef>

namespace fescuepond
{

namespace
{

constexpr std::string_view Blanks = " \t\r\n";

/// Walks over JSON text. A position in a string is never taken for one outside.
class JsonScanner
{
public:
    explicit JsonScanner(std::string_view text)
        : m_text(text)
    {
    }

    std::size_t position() const
    {
        return m_position;
    }
    bool isAtEnd() const
    {
        return m_position >= m_text.size();
    }
    char current() const
    {
        return m_text[m_position];
    }
    int depth() const
    {
        return m_depth;
    }
    /// Moves past one character, or past a whole string if one begins here, and returns the string with its quotes.
    std::string_view advance()
    {
        const std::size_t begin = m_position;
        const char first = current();
        ++m_position;
        if (first == '"') {
            skipString();
            return m_text.substr(begin, m_position - begin);
        }
        m_depth += first == '{' || first == '[' ? 1 : 0;
        m_depth -= first == '}' || first == ']' ? 1 : 0;
        return {};
    }
    void skipBlanks()
    {
        m_position = std::min(m_text.find_first_not_of(Blanks, m_position), m_text.size());
    }
    /// Whether the next characters, apart from blanks, are `characters`. If so, moves past them.
    bool skip(std::string_view characters)
    {
        JsonScanner ahead = *this;
        for (const char expected : characters) {
            ahead.skipBlanks();
            if (ahead.isAtEnd() || ahead.current() != expected) {
                return false;
            }
            ahead.advance();
        }
        *this = ahead;
        return true;
    }

private:
    void skipString()
    {
        while (!isAtEnd() && current() != '"') {
            m_position += current() == '\\' ? 2 : 1;
        }
        m_position = std::min(m_position + 1, m_text.size());
    }

    std::string_view m_text;
    std::size_t m_position = 0;
    int m_depth = 0; ///< Of objects and arrays.
};

void appendUnlessBlank(std::vector<std::string> &elements, std::string_view text)
{
    if (text.find_first_not_of(Blanks) != std::string_view::npos) {
        elements.emplace_back(text);
    }
}

} // namespace

SplitArray splitArrayMember(const std::string &text, std::string_view name)
{
    const std::string key = '"' + std::string(name) + '"';
    const std::string_view view = text;
    JsonScanner scanner(view);
    bool isFound = false;
    while (!isFound && !scanner.isAtEnd()) {
        const bool isMemberLevel = scanner.depth() == 1;
        isFound = scanner.advance() == key && isMemberLevel && scanner.skip(":[");
    }
    if (!isFound) {
        return {{}, text};
    }
    SplitArray split;
    const std::size_t begin = scanner.position();
    const int arrayDepth = scanner.depth();
    std::size_t elementBegin = begin;
    while (!scanner.isAtEnd()) {
        const std::size_t position = scanner.position();
        const char character = scanner.current();
        const bool isDelimiter = scanner.depth() == arrayDepth && (character == ',' || character == ']');
        scanner.advance();
        if (!isDelimiter) {
            continue;
        }
        appendUnlessBlank(split.elements, view.substr(elementBegin, position - elementBegin));
        elementBegin = scanner.position();
        if (character == ']') {
            split.rest = std::string(view.substr(0, begin)) + std::string(view.substr(position));
            return split;
        }
    }
    throw Poco::DataFormatException("an array isn't closed");
}

} // namespace fescuepond
