#include "gateway/route_table.h"

namespace dotterel {

namespace {

constexpr char Separator = '\n'; // Cannot occur in a host name.

std::string routeKey(std::string_view hostName, std::string_view prefix)
{
    std::string key(hostName);
    key += Separator;
    key += prefix;
    return key;
}

} // namespace

RouteTable::RouteTable(std::shared_ptr<const GatewayConfiguration> configuration)
    : current(std::move(configuration))
{
    this->routesByHostAndPrefix.reserve(this->current->routes.size());
    for (const Route &route : this->current->routes)
        this->routesByHostAndPrefix.emplace(routeKey(route.hostName, route.pathPrefix), &route);
}

const Route *RouteTable::findRoute(std::string_view hostName, std::string_view target) const
{
    std::string_view path = target.substr(0, target.find('?'));
    while (true) {
        const std::size_t slash = path.rfind('/');
        if (slash == std::string_view::npos)
            return nullptr;
        path = path.substr(0, slash + 1);
        const auto found = this->routesByHostAndPrefix.find(routeKey(hostName, path));
        if (found != this->routesByHostAndPrefix.end())
            return found->second;
        path = path.substr(0, slash);
    }
}

const GatewayWorkspace *RouteTable::findWorkspace(const std::string &apiKey) const
{
    if (!this->current)
        return nullptr;
    const auto found = this->current->workspacesByApiKey.find(apiKey);
    return found == this->current->workspacesByApiKey.end() ? nullptr : &found->second;
}

} // namespace dotterel
