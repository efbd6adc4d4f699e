// Findings: the errors of an input, each with its location, collected and reported together.

#pragma once

#include "core/value.h"

#include <boost/leaf.hpp>

#include <compare>
#include <string>
#include <vector>

namespace fescuepond
{

/// One error in an input, with its file, line and column. Lines and columns count from 1; 0: not known.
class Finding
{
    FESCUEPOND_FIELD(std::string, file, withFile);
    FESCUEPOND_FIELD(int, line, withLine);
    FESCUEPOND_FIELD(int, column, withColumn);
    FESCUEPOND_FIELD(std::string, message, withMessage);

public:
    Finding() = default;
    Finding(std::string file, int line, int column, std::string message);

    /// `file:line:column: message`, without what is not known.
    std::string toString() const;

    friend auto operator<=>(const Finding &, const Finding &) = default;
};

/// The findings of one operation; also the error object of Boost.LEAF results.
using Findings = std::vector<Finding>;

/// One finding per line.
std::string toString(const Findings &findings);

template<typename T>
using Result = boost::leaf::result<T>;

/// Makes a failed result that carries `findings`.
inline boost::leaf::error_id failure(Findings findings)
{
    return boost::leaf::new_error(std::move(findings));
}

/// Makes a failed result that carries one finding without a location.
inline boost::leaf::error_id failure(std::string message)
{
    return failure(Findings{Finding({}, 0, 0, std::move(message))});
}

} // namespace fescuepond
