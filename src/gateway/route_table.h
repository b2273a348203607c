#pragma once

#include "gateway/gateway_configuration.h"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace dotterel {

/// Matches requests to routes by the host name and the longest path prefix. A lookup takes time
/// proportional to the depth of the path, independent of the number of routes.
class RouteTable
{
public:
    /// An empty table.
    RouteTable() = default;

    /// Builds the table of \a configuration.
    explicit RouteTable(std::shared_ptr<const GatewayConfiguration> configuration);

    /// The configuration that the table was built from; null for an empty table.
    const std::shared_ptr<const GatewayConfiguration> &configuration() const
    {
        return this->current;
    }

    /// Returns the route for \a hostName and the request target \a target, whose query is ignored;
    /// null if no route matches.
    const Route *findRoute(std::string_view hostName, std::string_view target) const;

    /// Returns the workspace of the API key \a apiKey; null if the key is unknown.
    const GatewayWorkspace *findWorkspace(const std::string &apiKey) const;

private:
    std::shared_ptr<const GatewayConfiguration> current;
    std::unordered_map<std::string, const Route *> routesByHostAndPrefix;
};

} // namespace dotterel
