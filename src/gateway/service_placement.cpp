#include "gateway/service_placement.h"

#include <algorithm>

namespace dotterel {

namespace {

/// A report older than this says nothing any more: calls take a few tens of milliseconds.
constexpr Duration ReportLife = std::chrono::milliseconds(500);
/// A call that may fail costs as much as this many calls ahead of it.
constexpr double FailureCost = 8.0;
/// A server in another failure domain costs a little latency and bytes.
constexpr double OtherDomainCost = 0.1;
/// Spreads the hosts over servers that look alike.
constexpr double TieRange = 0.3;

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
    std::optional<ServerId> tried;
    double least = 0;
    for (const GatewayServer *server : this->fleet.usable(pool, now)) {
        if (excluded.count(server->id) > 0) {
            tried = server->id;
            continue;
        }
        const double cost = this->cost(*server, now);
        if (!best || cost < least) {
            best = server->id;
            least = cost;
        }
    }
    return best ? best : tried;
}

void ServicePlacement::onDispatched(const ServerId &server)
{
    ++this->records[server].own;
}

void ServicePlacement::onEnded(const ServerId &server)
{
    Record &record = this->records[server];
    if (record.own > 0)
        --record.own;
}

void ServicePlacement::onReported(const ServerId &server, const ReportedLoad &load, TimePoint now)
{
    Record &record = this->records[server];
    record.reported = load;
    record.reportedAt = now;
    record.ownAtReport = record.own;
}

double ServicePlacement::cost(const GatewayServer &server, TimePoint now)
{
    const Record &record = this->records[server.id];
    auto load = static_cast<double>(record.own);
    if (record.reportedAt && now - *record.reportedAt < ReportLife) {
        const double since = static_cast<double>(record.own)
                             - static_cast<double>(std::min(record.own, record.ownAtReport));
        load = std::max(load, static_cast<double>(record.reported.running + record.reported.waiting)
                                      + since);
    }
    const double slots = static_cast<double>(std::max<std::size_t>(1, server.slots));
    double cost = load / slots * 2.0;
    if (load >= slots)
        cost += load - slots + 1;
    cost += FailureCost * this->fleet.failureRate(server.id, now);
    if (server.failureDomain != this->failureDomain)
        cost += OtherDomainCost;
    return cost + TieRange * this->random.unit();
}

} // namespace dotterel
