// Changes of texts that tests start from.

#pragma once

#include <string>

namespace fescuepond::test
{

/// `text` with its first `from` replaced.
inline std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace fescuepond::test
