// Encodes the platform's desired state and writes it to the object store's stand-in.

#include "tests/platform/desiredstateobject.h"

#include "core/pipeline/objectstore.h"

#include <fmt/format.h>

#include <chrono>
#include <set>

namespace fescuepond::test
{

namespace
{

constexpr auto WriteTimeout = std::chrono::seconds(2);
constexpr int RoutePriority = 1;

} // namespace

std::string desiredStateText(std::uint32_t version, const std::vector<RouteObject> &routes)
{
    std::string rows;
    std::set<std::string> services;
    for (const RouteObject &route : routes) {
        rows += fmt::format(R"({}["{}","{}","{}","safe",{},{},{},null,{},"{}"])",
                            rows.empty() ? "" : ",",
                            route.name(),
                            route.host(),
                            route.pathPrefix(),
                            route.timeoutSeconds(),
                            route.timeoutSeconds(),
                            RoutePriority,
                            route.maxAttempts(),
                            route.service());
        services.insert(route.service());
    }
    std::string names;
    for (const std::string &service : services) {
        names += fmt::format(R"({}["{}"])", names.empty() ? "" : ",", service);
    }
    return fmt::format(R"({{"version":"{:08x}",)", version)
        + R"("routes":{"columns":["name","host","path_prefix","kind","timeout_s","aim_s",)"
          R"("priority","traffic_split","max_attempts","service"],"rows":[)"
        + rows + R"(]},"services":{"columns":["name"],"rows":[)" + names + R"(]},"limits":{}})";
}

bool writeDesiredState(const std::string &address, const std::vector<RouteObject> &routes)
{
    return connectStore(address, WriteTimeout)
               ->put("config", "main", desiredStateText(1, routes), std::nullopt)
               .status()
        == StoreStatus::Ok;
}

} // namespace fescuepond::test
