// Edits of texts that tests use as input.

#pragma once

#include <string>

namespace fescuepond::test
{

/// Returns `text` with the first occurrence of `from` replaced by `to`.
inline std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace fescuepond::test
