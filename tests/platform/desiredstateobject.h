// The platform's desired state as benchmarks and tests with many nodes write it to the object store's stand-in.

#pragma once

#include "core/value.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fescuepond::test
{

/// A route of the desired state, for requests that may be repeated.
class RouteObject
{
    FESCUEPOND_FIELD(std::string, name, withName);
    FESCUEPOND_FIELD(std::string, host, withHost);
    FESCUEPOND_FIELD(std::string, pathPrefix, withPathPrefix); ///< Begins and ends with a slash.
    FESCUEPOND_FIELD(std::string, service, withService);
    FESCUEPOND_FIELD(int, timeoutSeconds, withTimeoutSeconds);
    FESCUEPOND_FIELD(int, maxAttempts, withMaxAttempts);

public:
    friend auto operator<=>(const RouteObject &, const RouteObject &) = default;
};

/// The desired state at `version`, as JSON.
std::string desiredStateText(std::uint32_t version, const std::vector<RouteObject> &routes);

/// Writes the desired state for the first time to the store at `address`, an IP and a port; returns whether the store
/// confirmed it.
bool writeDesiredState(const std::string &address, const std::vector<RouteObject> &routes);

} // namespace fescuepond::test
