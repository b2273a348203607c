#pragma once

#include "core/random_source.h"
#include "gateway/server_fleet.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace dotterel {

/// Load that a server told with an answer.
struct ReportedLoad
{
    std::size_t running = 0;
    std::size_t waiting = 0;
    std::size_t slots = 0;
};

/// Places the calls of plain services by what this host has sent and what answers told of the
/// servers' load. The load it answers: many callers at once on few places, with servers that shed
/// or fail while their health is good. Pure.
class ServicePlacement
{
public:
    ServicePlacement(std::string failureDomain, const ServerFleet &fleet, RandomSource &random);

    /// Chooses a server of \a pool; one in \a excluded only if there is no other.
    std::optional<ServerId> place(const std::string &pool, const std::set<ServerId> &excluded,
                                  TimePoint now);

    /// A call went to \a server.
    void onDispatched(const ServerId &server);

    /// A call at \a server ended.
    void onEnded(const ServerId &server);

    /// An answer told the load of \a server.
    void onReported(const ServerId &server, const ReportedLoad &load, TimePoint now);

private:
    struct Record
    {
        std::size_t own = 0;
        std::size_t ownAtReport = 0;
        ReportedLoad reported;
        std::optional<TimePoint> reportedAt;
    };

    double cost(const GatewayServer &server, TimePoint now);

    std::string failureDomain;
    const ServerFleet &fleet;
    RandomSource &random;
    std::map<ServerId, Record> records;
};

} // namespace dotterel
