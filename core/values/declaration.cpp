// Declarations: matching of requests.

#include "core/values/declaration.h"

#include <algorithm>

namespace fescuepond
{

bool KindDeclaration::matches(std::string_view requestMethod, std::string_view requestPath) const
{
    if (m_method != "*" && m_method != requestMethod) {
        return false;
    }
    // The query is no part of the path that operators declare.
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

} // namespace fescuepond
