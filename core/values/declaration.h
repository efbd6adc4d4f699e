// What operators declare: kinds of work, services, and the configuration that holds all of them.

#pragma once

#include "core/value.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace fescuepond
{

/// How urgent a kind of work is. 0 is the most urgent; when load is shed, the highest rank goes first.
using Rank = int;
constexpr Rank MostUrgentRank = 0;
constexpr Rank LeastUrgentRank = 99;

/// One kind of work that a service takes.
class KindDeclaration
{
    FESCUEPOND_FIELD(std::string, name, withName);
    FESCUEPOND_FIELD(std::string, method, withMethod); ///< HTTP method, or "*".
    FESCUEPOND_FIELD(std::string, path, withPath); ///< Exact path, or a prefix that ends in "*".
    FESCUEPOND_FIELD(Rank, rank, withRank);
    FESCUEPOND_FIELD(bool, idempotent, withIdempotent);
    FESCUEPOND_FIELD(std::chrono::milliseconds, deadline, withDeadline);
    FESCUEPOND_FIELD(int, retryAllowance, withRetryAllowance); ///< Retries for one root request, over its whole chain.
    FESCUEPOND_FIELD(double, keptShare, withKeptShare); ///< Part of capacity that this kind keeps, 0 to 1.

public:
    bool matches(std::string_view requestMethod, std::string_view requestPath) const;
    friend auto operator<=>(const KindDeclaration &, const KindDeclaration &) = default;
};

using KindDeclarations = std::vector<KindDeclaration>;

/// The declarations of one service.
class ServiceDeclaration
{
    FESCUEPOND_FIELD(std::string, name, withName);
    FESCUEPOND_FIELD(KindDeclarations, kinds, withKinds); ///< In the order in which they are matched.

public:
    /// The first kind that matches, or null.
    const KindDeclaration *match(std::string_view method, std::string_view path) const;
    friend auto operator<=>(const ServiceDeclaration &, const ServiceDeclaration &) = default;
};

/// A service to which a part of a route's requests goes.
class RouteDestination
{
    FESCUEPOND_FIELD(std::string, service, withService);
    FESCUEPOND_FIELD(double, weight, withWeight); ///< Above 0; a part's share is its weight by the sum of all.

public:
    friend auto operator<=>(const RouteDestination &, const RouteDestination &) = default;
};

using RouteDestinations = std::vector<RouteDestination>;

/// Requests of one host below one path, and what is wanted for them.
class RouteDeclaration
{
    FESCUEPOND_FIELD(std::string, host, withHost);
    FESCUEPOND_FIELD(std::string, pathPrefix, withPathPrefix); ///< Begins and ends with a slash.
    FESCUEPOND_FIELD(RouteDestinations, destinations, withDestinations); ///< At least one.
    FESCUEPOND_FIELD(KindDeclaration, kind, withKind); ///< Its name is the route's; its method and path match all.
    FESCUEPOND_FIELD(std::chrono::milliseconds, latencyObjective, withLatencyObjective);

public:
    /// The service for a request; `fraction` from 0 to below 1 says which part of them it is.
    const std::string &serviceFor(double fraction) const;
    friend auto operator<=>(const RouteDeclaration &, const RouteDeclaration &) = default;
};

using Routes = std::vector<RouteDeclaration>;
/// By host, the longest prefix first.
using RouteMap = std::map<std::string, Routes>;

/// Version of an object in the platform's service. Later writes have larger versions; 0 means "none".
using ObjectVersion = std::uint64_t;
using ServiceMap = std::map<std::string, ServiceDeclaration>;

/// Everything that was published, at one version.
class Configuration
{
    FESCUEPOND_FIELD(ObjectVersion, version, withVersion);
    FESCUEPOND_FIELD(ServiceMap, services, withServices);
    FESCUEPOND_FIELD(RouteMap, routes, withRoutes);

public:
    /// The route with the longest prefix that begins `path`, or null. `path` may have a query.
    const RouteDeclaration *route(const std::string &host, std::string_view path) const;
    const ServiceDeclaration *service(const std::string &name) const;
    friend auto operator<=>(const Configuration &, const Configuration &) = default;
};

} // namespace fescuepond
