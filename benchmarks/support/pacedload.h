// Callers that send requests at a constant rate and count the responses that are as expected.

#pragma once

#include "core/value.h"

#include <chrono>
#include <string>

namespace fescuepond::benchmark
{

/// Requests that several callers send side by side, each on its own connection.
class PacedLoad
{
    FESCUEPOND_FIELD(std::string, address, withAddress); ///< IP and port of the node at which the requests enter.
    FESCUEPOND_FIELD(std::string, host, withHost);
    FESCUEPOND_FIELD(std::string, path, withPath);
    FESCUEPOND_FIELD(std::string, identifierHeader, withIdentifierHeader); ///< Header with a new value in each request.
    FESCUEPOND_FIELD(int, rate, withRate); ///< Requests a second, of all callers together.
    FESCUEPOND_FIELD(int, callers, withCallers);
    FESCUEPOND_FIELD(bool, connectsEachTime, withConnectsEachTime); ///< A new connection for each request.
    FESCUEPOND_FIELD(int, expectedStatus, withExpectedStatus);
    FESCUEPOND_FIELD(std::string, expectedText, withExpectedText); ///< Part of the body of an expected response.

public:
    friend auto operator<=>(const PacedLoad &, const PacedLoad &) = default;
};

class LoadCounts
{
    FESCUEPOND_FIELD(int, sent, withSent);
    FESCUEPOND_FIELD(int, expected, withExpected); ///< Responses that are as expected.

public:
    friend auto operator<=>(const LoadCounts &, const LoadCounts &) = default;
};

/// Sends requests for `time` and returns once all are answered. A caller that waits for a response for longer than its
/// interval sends the requests that are due meanwhile as soon as it has it.
LoadCounts sendLoad(const PacedLoad &load, std::chrono::duration<double> time);

} // namespace fescuepond::benchmark
