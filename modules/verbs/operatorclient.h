// HTTP client that the verbs use to call the operator listener of a node.

#pragma once

#include <optional>
#include <string>

namespace fescuepond
{

/// Sends a request without a body to the operator listener at `address`. Returns the body of a successful response. On
/// failure, prints the reason on standard error and returns nothing.
std::optional<std::string>
requestOperatorListener(const std::string &address, const std::string &method, const std::string &path);

} // namespace fescuepond
