#include "gateway/service_placement.h"

#include <algorithm>

namespace dotterel {

namespace {

/// Load reports older than this are ignored, since requests take only a few tens of milliseconds.
constexpr Duration LoadReportMaxAge = std::chrono::milliseconds(500);
/// Cost of a failure rate of 1, in units of one request queued ahead.
constexpr double FailureCost = 8.0;
/// Cost of a server in another failure domain, which adds latency and traffic between domains.
constexpr double OtherDomainCost = 0.1;
/// Upper bound of the random part of the cost, which spreads the requests of different hosts over
/// servers with the same cost.
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
    ++this->trackedLoads[server].inFlight;
}

void ServicePlacement::onEnded(const ServerId &server)
{
    TrackedLoad &tracked = this->trackedLoads[server];
    if (tracked.inFlight > 0)
        --tracked.inFlight;
}

void ServicePlacement::onLoadReported(const ServerId &server, const ReportedLoad &load,
                                      TimePoint now)
{
    TrackedLoad &tracked = this->trackedLoads[server];
    tracked.report = load;
    tracked.reportedAt = now;
    tracked.inFlightAtReport = tracked.inFlight;
}

double ServicePlacement::cost(const GatewayServer &server, TimePoint now)
{
    const TrackedLoad &tracked = this->trackedLoads[server.id];
    auto load = static_cast<double>(tracked.inFlight);
    if (tracked.reportedAt && now - *tracked.reportedAt < LoadReportMaxAge) {
        const double sentSinceReport =
                static_cast<double>(tracked.inFlight)
                - static_cast<double>(std::min(tracked.inFlight, tracked.inFlightAtReport));
        load = std::max(load, static_cast<double>(tracked.report.running + tracked.report.queued)
                                      + sentSinceReport);
    }
    const double slots = static_cast<double>(std::max<std::size_t>(1, server.slots));
    double cost = load / slots * 2.0;
    if (load >= slots)
        cost += load - slots + 1;
    cost += FailureCost * this->fleet.failureRate(server.id, now);
    if (server.failureDomain != this->failureDomain)
        cost += OtherDomainCost;
    return cost + RandomCostRange * this->random.nextDouble();
}

} // namespace dotterel
