#pragma once

#include "core/random_source.h"
#include "gateway/server_fleet.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace dotterel {

/// Load that a server reported with a response.
struct ReportedLoad
{
    std::size_t running = 0;
    std::size_t queued = 0;
    std::size_t slots = 0;
};

/// Chooses servers for requests that are not prompts, by the requests that this host has in flight
/// and the load that servers report with their responses. Designed for many concurrent callers on
/// few slots, with servers that shed load or fail requests although their health checks pass.
class ServicePlacement
{
public:
    ServicePlacement(std::string failureDomain, const ServerFleet &fleet, RandomSource &random);

    /// Chooses a server of \a pool. Returns one of \a excluded only if there is no other usable
    /// server; nullopt if there is none at all.
    std::optional<ServerId> place(const std::string &pool, const std::set<ServerId> &excluded,
                                  TimePoint now);

    /// Records a request sent to \a server.
    void onDispatched(const ServerId &server);

    /// Records that a request sent to \a server ended.
    void onEnded(const ServerId &server);

    /// Records the load that \a server reported with a response.
    void onLoadReported(const ServerId &server, const ReportedLoad &load, TimePoint now);

private:
    struct TrackedLoad
    {
        std::size_t inFlight = 0; ///< Requests of this host.
        std::size_t inFlightAtReport = 0;
        ReportedLoad report;
        std::optional<TimePoint> reportedAt;
    };

    /// Returns the placement cost of \a server: its load relative to its slots, plus penalties for
    /// failures, another failure domain and a random part.
    double cost(const GatewayServer &server, TimePoint now);

    std::string failureDomain;
    const ServerFleet &fleet;
    RandomSource &random;
    std::map<ServerId, TrackedLoad> trackedLoads;
};

} // namespace dotterel
