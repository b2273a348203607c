// The part of ServerFleet that looks at whole pools.

#include "gateway/server_fleet.h"

#include <algorithm>

namespace dotterel {

std::vector<const GatewayServer *> ServerFleet::all(TimePoint now) const
{
    std::vector<const GatewayServer *> servers;
    servers.reserve(this->records.size());
    for (const auto &[id, record] : this->records) {
        if (!record.expiresAt || *record.expiresAt > now)
            servers.push_back(&record.server);
    }
    return servers;
}

std::optional<Duration> ServerFleet::pauseLeft(const std::string &pool, TimePoint now) const
{
    std::optional<Duration> shortest;
    for (const auto &[id, record] : this->records) {
        if (record.server.pool != pool || this->isLeavingOrGone(record, now)
            || this->isOutOfService(record.server))
            continue;
        if (record.pausedUntil <= now)
            return std::nullopt;
        const Duration left = record.pausedUntil - now;
        shortest = std::min(shortest.value_or(left), left);
    }
    return shortest;
}

std::optional<TimePoint> ServerFleet::limitOpening(const std::string &pool, TimePoint now) const
{
    std::optional<TimePoint> first;
    for (const auto &[id, record] : this->records) {
        if (record.server.pool != pool || !this->isSchedulable(record, now)
            || record.suspectedUntil > now)
            continue;
        if (this->serverLimits.mayReceive(id, now))
            return std::nullopt;
        const TimePoint opening = this->serverLimits.opensAt(id, now);
        first = std::min(first.value_or(opening), opening);
    }
    return first;
}

bool ServerFleet::livedOn(const ServerId &server, TimePoint time) const
{
    const auto found = this->records.find(server);
    if (found == this->records.end() || found->second.knownSince > time
        || !found->second.lastAnswer)
        return false;
    const TimePoint lastAnswer = *found->second.lastAnswer;
    const std::optional<TimePoint> goneAt = this->disappearedAt(server);
    const bool mayHaveRestarted = goneAt && *goneAt >= time && lastAnswer >= *goneAt;
    return lastAnswer > time + this->timings.transitTime && !mayHaveRestarted;
}

void ServerFleet::forgetRefusedConnections(const std::string &pool)
{
    for (const auto &[id, record] : this->records) {
        if (record.server.pool == pool)
            this->refusedConnections.erase(id);
    }
}

std::size_t ServerFleet::size(const std::string &pool, TimePoint now) const
{
    return static_cast<std::size_t>(
            std::count_if(this->records.begin(), this->records.end(), [&](const auto &entry) {
                return entry.second.server.pool == pool && !this->isLeavingOrGone(entry.second, now)
                       && !this->isOutOfService(entry.second.server);
            }));
}

bool ServerFleet::isDraining(const ServerId &server) const
{
    const auto found = this->records.find(server);
    return found != this->records.end()
           && (found->second.server.draining || found->second.announcedLeaving);
}

void ServerFleet::setDomainsOutOfService(std::set<std::string> domains)
{
    this->domainsOutOfService = std::move(domains);
}

bool ServerFleet::isOutOfService(const GatewayServer &server) const
{
    return this->domainsOutOfService.count(server.failureDomain) > 0;
}

bool ServerFleet::isOutOfService(const std::string &pool, TimePoint now) const
{
    bool hasServer = false;
    for (const auto &[id, record] : this->records) {
        if (record.server.pool != pool || this->isLeavingOrGone(record, now))
            continue;
        if (!this->isOutOfService(record.server))
            return false;
        hasServer = true;
    }
    return hasServer;
}

bool ServerFleet::isLimitLifting(const std::string &pool, TimePoint now) const
{
    return std::any_of(this->records.begin(), this->records.end(), [&](const auto &entry) {
        return entry.second.server.pool == pool && this->isSchedulable(entry.second, now)
               && this->serverLimits.isLifting(entry.first, now);
    });
}

double ServerFleet::limitedRate(const std::string &pool, TimePoint now) const
{
    double rate = 0;
    for (const auto &[id, record] : this->records) {
        if (record.server.pool == pool && this->isSchedulable(record, now))
            rate += this->serverLimits.rate(id, now).value_or(0);
    }
    return rate;
}

} // namespace dotterel
