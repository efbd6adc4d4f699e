// Requests to the operator listener of a node, for the verbs.

#pragma once

#include <optional>
#include <string>

namespace fescuepond
{

/// Sends a request without a body to the operator listener at `address`. Returns the body of a successful answer, or
/// nothing; then the reason was printed on standard error.
std::optional<std::string>
requestOperatorListener(const std::string &address, const std::string &method, const std::string &path);

} // namespace fescuepond
