// Splits a JSON array without decoding its elements, so that one that can't be decoded costs only itself.

#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace fescuepond
{

struct SplitArray {
    std::vector<std::string> elements; ///< Their texts, not checked.
    std::string rest; ///< The text of the object, with the array left empty.
};

/// Splits the array that is the member `name` of the object in `text`. Without such a member, `rest` is the whole text.
/// Throws a Poco::DataFormatException if the array isn't closed. Uses no recursion, however deep an element is.
SplitArray splitArrayMember(const std::string &text, std::string_view name);

} // namespace fescuepond
