// Findings: what is wrong with an input, each with its place, collected and reported together.

#pragma once

#include "core/value.h"

#include <boost/leaf.hpp>

#include <compare>
#include <string>
#include <vector>

namespace fescuepond
{

/// One fault of an input, with the file, line and column at which it stands. Lines and columns count from 1; 0 is
/// "not known".
class Finding
{
    FESCUEPOND_FIELD(std::string, file, withFile);
    FESCUEPOND_FIELD(int, line, withLine);
    FESCUEPOND_FIELD(int, column, withColumn);
    FESCUEPOND_FIELD(std::string, message, withMessage);

public:
    Finding() = default;
    Finding(std::string file, int line, int column, std::string message);

    /// `file:line:column: message`, without the parts that are not known.
    std::string toString() const;

    friend auto operator<=>(const Finding &, const Finding &) = default;
};

/// The findings of one operation. It is also the error object that Boost.LEAF results carry.
using Findings = std::vector<Finding>;

/// Returns the findings one a line.
std::string toString(const Findings &findings);

template<typename T>
using Result = boost::leaf::result<T>;

/// Makes a failed result that carries `findings`.
inline boost::leaf::error_id failure(Findings findings)
{
    return boost::leaf::new_error(std::move(findings));
}

/// Makes a failed result that carries one finding without a place.
inline boost::leaf::error_id failure(std::string message)
{
    return failure(Findings{Finding({}, 0, 0, std::move(message))});
}

} // namespace fescuepond
