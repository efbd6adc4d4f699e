// Declarations of operators: kinds of work, services and routes, and the configuration that contains them.

#pragma once

#include "core/kernel/finding.h"
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

/// Priority of a kind of work. 0 is the most urgent; under overload, the highest ranks are shed first.
using Rank = int;
constexpr Rank MostUrgentRank = 0;
constexpr Rank LeastUrgentRank = 99;

/// One kind of work that a service accepts.
class KindDeclaration
{
    FESCUEPOND_LISTED_FIELD(std::string, name, withName);
    FESCUEPOND_LISTED_FIELD(std::string, method, withMethod); ///< HTTP method, or "*".
    FESCUEPOND_LISTED_FIELD(std::string, path, withPath); ///< Exact path, or a prefix that ends in "*".
    FESCUEPOND_LISTED_FIELD(Rank, rank, withRank);
    FESCUEPOND_LISTED_FIELD(bool, idempotent, withIdempotent);
    FESCUEPOND_LISTED_FIELD(std::chrono::milliseconds, deadline, withDeadline);
    /// Retries for one root request, over its whole call tree.
    FESCUEPOND_LISTED_FIELD(int, retryAllowance, withRetryAllowance);
    FESCUEPOND_LISTED_FIELD(double,
                            keptShare,
                            withKeptShare); ///< Fraction of the capacity reserved for this kind, 0 to 1.

public:
    bool matches(std::string_view requestMethod, std::string_view requestPath) const;
    friend auto operator<=>(const KindDeclaration &, const KindDeclaration &) = default;
};

using KindDeclarations = std::vector<KindDeclaration>;

/// The declarations of one service.
class ServiceDeclaration
{
    FESCUEPOND_FIELD(std::string, name, withName);
    FESCUEPOND_FIELD(KindDeclarations, kinds, withKinds); ///< In matching order: the first match wins.

public:
    /// The first matching kind; null if there is none.
    const KindDeclaration *match(std::string_view method, std::string_view path) const;
    friend auto operator<=>(const ServiceDeclaration &, const ServiceDeclaration &) = default;
};

/// A service that receives a fraction of a route's requests.
class RouteDestination
{
    FESCUEPOND_FIELD(std::string, service, withService);
    /// Not negative; the fraction is this weight divided by the sum of the route's weights, which is above 0.
    FESCUEPOND_FIELD(double, weight, withWeight);

public:
    friend auto operator<=>(const RouteDestination &, const RouteDestination &) = default;
};

using RouteDestinations = std::vector<RouteDestination>;

/// The requests for one host and path prefix, their destinations and their kind of work.
class RouteDeclaration
{
    FESCUEPOND_FIELD(std::string, host, withHost);
    FESCUEPOND_FIELD(std::string, pathPrefix, withPathPrefix); ///< Starts and ends with a slash.
    FESCUEPOND_FIELD(RouteDestinations, destinations, withDestinations); ///< At least one.
    FESCUEPOND_FIELD(KindDeclaration, kind, withKind); ///< Named after the route; matches all methods and paths.
    FESCUEPOND_FIELD(std::chrono::milliseconds, latencyObjective, withLatencyObjective); ///< Target response time.

public:
    /// The service for a request, chosen by weight with `fraction`, a random number in [0, 1).
    const std::string &serviceFor(double fraction) const;
    friend auto operator<=>(const RouteDeclaration &, const RouteDeclaration &) = default;
};

using Routes = std::vector<RouteDeclaration>;
/// Routes by host, longest prefix first.
using RouteMap = std::map<std::string, Routes>;

/// Orders configurations; 0: none. Part of what the operator writes, so that it holds wherever the text was read.
using ConfigurationVersion = std::uint64_t;
using ServiceMap = std::map<std::string, ServiceDeclaration>;

/// The published services and routes at one version.
class Configuration
{
    FESCUEPOND_FIELD(ConfigurationVersion, version, withVersion);
    FESCUEPOND_FIELD(ServiceMap, services, withServices);
    FESCUEPOND_FIELD(RouteMap, routes, withRoutes);
    /// Entries that are in force, though in part not understood.
    FESCUEPOND_FIELD(Findings, warnings, withWarnings);

public:
    /// The route with the longest prefix of `path`, or null. `path` may contain a query string.
    const RouteDeclaration *route(const std::string &host, std::string_view path) const;
    const ServiceDeclaration *service(const std::string &name) const;
    friend auto operator<=>(const Configuration &, const Configuration &) = default;
};

} // namespace fescuepond
