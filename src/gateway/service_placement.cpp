#include "gateway/service_placement.h"

#include <algorithm>

namespace dotterel {

namespace {

/// Reports older than this are ignored: requests take a few tens of milliseconds.
constexpr Duration LoadReportMaxAge = std::chrono::milliseconds(500);
/// Cost of a certain failure, in units of requests queued ahead.
constexpr double FailureCost = 8.0;
/// Prefers servers in the own failure domain, which save latency and traffic.
constexpr double RemoteDomainCost = 0.1;
/// Random part of the cost: spreads the hosts over servers with the same cost.
constexpr double RandomCostRange = 0.3;

} // namespace

ServicePlacement::ServicePlacement(std::string failureDomain, const ServerFleet &fleet,
                                   RandomSource &random)
    : failureDomain(std::move(failureDomain))
    , fleet(fleet)
    , random(random)
{}

std::optional<ServerId> ServicePlacement::place(const std::string &pool,
                                                const std::set<ServerId> &excluded, TimePoint now)
{
    std::optional<ServerId> best;
    std::optional<ServerId> lastExcluded;
    double lowestCost = 0;
    for (const GatewayServer *server : this->fleet.usable(pool, now)) {
        if (excluded.count(server->id) > 0) {
            lastExcluded = server->id;
            continue;
        }
        const double cost = this->cost(*server, now);
        if (!best || cost < lowestCost) {
            best = server->id;
            lowestCost = cost;
        }
    }
    return best ? best : lastExcluded;
}

void ServicePlacement::onDispatched(const ServerId &server)
{
    ++this->serverLoads[server].inFlight;
}

void ServicePlacement::onEnded(const ServerId &server)
{
    ServerLoad &serverLoad = this->serverLoads[server];
    if (serverLoad.inFlight > 0)
        --serverLoad.inFlight;
}

void ServicePlacement::onLoadReported(const ServerId &server, const ReportedLoad &load,
                                      TimePoint now)
{
    ServerLoad &serverLoad = this->serverLoads[server];
    serverLoad.report = load;
    serverLoad.reportedAt = now;
    serverLoad.inFlightAtReport = serverLoad.inFlight;
}

double ServicePlacement::cost(const GatewayServer &server, TimePoint now)
{
    const ServerLoad &serverLoad = this->serverLoads[server.id];
    auto load = static_cast<double>(serverLoad.inFlight);
    if (serverLoad.reportedAt && now - *serverLoad.reportedAt < LoadReportMaxAge) {
        const double sentSinceReport =
                static_cast<double>(serverLoad.inFlight)
                - static_cast<double>(std::min(serverLoad.inFlight, serverLoad.inFlightAtReport));
        load = std::max(load,
                        static_cast<double>(serverLoad.report.running + serverLoad.report.queued)
                                + sentSinceReport);
    }
    const double slots = static_cast<double>(std::max<std::size_t>(1, server.slots));
    double cost = load / slots * 2.0;
    if (load >= slots)
        cost += load - slots + 1;
    cost += FailureCost * this->fleet.failureRate(server.id, now);
    if (server.failureDomain != this->failureDomain)
        cost += RemoteDomainCost;
    return cost + RandomCostRange * this->random.unit();
}

} // namespace dotterel
