#pragma once

#include "gateway/gateway_configuration.h"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace dotterel {

/// Finds the route of a request: among those of its host, the one with the longest prefix. The time
/// grows with the depth of a path and not with the number of routes.
class RouteTable
{
public:
    /// An empty table.
    RouteTable() = default;

    /// Builds the table of \a configuration.
    explicit RouteTable(std::shared_ptr<const GatewayConfiguration> configuration);

    /// The configuration of the table; null at first.
    const std::shared_ptr<const GatewayConfiguration> &configuration() const
    {
        return this->current;
    }

    /// Returns the route for \a host and \a target, which may have a query; null if there is none.
    const Route *find(std::string_view host, std::string_view target) const;

    /// Returns the workspace that holds \a key; null if there is none.
    const GatewayWorkspace *workspace(const std::string &key) const;

private:
    std::shared_ptr<const GatewayConfiguration> current;
    std::unordered_map<std::string, const Route *> byHostAndPrefix;
};

} // namespace dotterel
