// Declarations: matching of requests to kinds, routes and services.

#include "core/values/declaration.h"

#include <algorithm>

namespace fescuepond
{

bool KindDeclaration::matches(std::string_view requestMethod, std::string_view requestPath) const
{
    if (m_method != "*" && m_method != requestMethod) {
        return false;
    }
    // Declared paths don't include the query string.
    const std::string_view bare = requestPath.substr(0, requestPath.find('?'));
    if (m_path.ends_with('*')) {
        return bare.starts_with(std::string_view(m_path).substr(0, m_path.size() - 1));
    }
    return bare == m_path;
}

const KindDeclaration *ServiceDeclaration::match(std::string_view method, std::string_view path) const
{
    const auto found = std::find_if(m_kinds.begin(), m_kinds.end(), [&](const KindDeclaration &kind) {
        return kind.matches(method, path);
    });
    return found == m_kinds.end() ? nullptr : &*found;
}

const ServiceDeclaration *Configuration::service(const std::string &name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : &found->second;
}

const std::string &RouteDeclaration::serviceFor(double fraction) const
{
    double sum = 0;
    for (const RouteDestination &destination : m_destinations) {
        sum += destination.weight();
    }
    double point = fraction * sum;
    for (const RouteDestination &destination : m_destinations) {
        if (point < destination.weight()) {
            return destination.service();
        }
        point -= destination.weight();
    }
    return m_destinations.back().service();
}

const RouteDeclaration *Configuration::route(const std::string &host, std::string_view path) const
{
    const auto routes = m_routes.find(host);
    if (routes == m_routes.end()) {
        return nullptr;
    }
    const std::string_view bare = path.substr(0, path.find('?'));
    const auto found = std::find_if(routes->second.begin(), routes->second.end(), [&](const RouteDeclaration &route) {
        return bare.starts_with(route.pathPrefix());
    });
    return found == routes->second.end() ? nullptr : &*found;
}

} // namespace fescuepond
