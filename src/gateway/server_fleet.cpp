#include "gateway/server_fleet.h"

#include "core/enum_names.h"
#include "core/hashing.h"
#include "gateway/prompt_updates.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace dotterel {

namespace {

/// The removal of a single server says nothing about the store.
constexpr std::size_t MinRemovedTogether = 2;
constexpr double HashRange = 18446744073709551616.0; // 2^64

} // namespace

ServerFleet::ServerFleet(const ServerFleetTimings &timings, EventLog &log, std::uint32_t hostHash)
    : timings(timings)
    , log(log)
    , serverLimits(ServerLimitSettings{}, hostHash, log)
    , warmUps(log)
    , serverPace(timings.pace, log, hostHash)
{}

bool ServerFleet::put(const GatewayServer &server, TimePoint now)
{
    const auto found = this->records.find(server.id);
    if (found != this->records.end() && found->second.server.incarnation == server.incarnation) {
        Record &record = found->second;
        const bool wasDraining = record.server.draining;
        if (!wasDraining && server.draining)
            this->log.write(Event::ServerDraining, {{"server", server.id}, {"source", "entry"}});
        record.server = server;
        record.server.draining = server.draining || wasDraining;
        // The entry may have expired and be written again; the recorded health still applies.
        record.expiresAt.reset();
        record.removedAt.reset();
        if (this->warmUps.onEntry(server, false, now))
            this->applyWarmUp(server, now);
        return false;
    }
    const bool restarted = found != this->records.end();
    if (restarted)
        this->recordDisappearance(found->second, now);
    this->serverLimits.forget(server.id);
    this->warmUps.forget(server.id);
    const bool hasStarted = this->hasStartedNow(server, now);
    Record record;
    record.server = server;
    record.rank = static_cast<double>(hash64(server.id)) / HashRange;
    record.decayedAt = now;
    record.knownSince = now;
    const auto departure = this->departures.find(server.id);
    const bool departed = departure != this->departures.end()
                          && departure->second.incarnation == server.incarnation;
    const auto reported = this->reportedDepartures.find(hash32(server.id));
    const bool isReported = reported != this->reportedDepartures.end()
                            && reported->second.incarnation == server.incarnation;
    record.announcedLeaving = (departed && departure->second.wasLeaving) || isReported;
    if (departed && departure->second.doubtedUntil)
        record.suspectedUntil = *departure->second.doubtedUntil;
    this->records[server.id] = record;
    if (this->warmUps.onEntry(server, hasStarted, now))
        this->applyWarmUp(server, now);
    if (hasStarted)
        this->serverPace.start(server.id, server.slots, PaceReason::Started, now);
    this->log.write(Event::ServerUp, {{"server", server.id},
                                      {"pool", server.pool},
                                      {"endpoint", server.endpoint.text()},
                                      {"restarted", restarted},
                                      {"departed_before", record.announcedLeaving}});
    return restarted;
}

void ServerFleet::doubtIfDeparted(const GatewayServer &server, TimePoint now)
{
    const auto departure = this->departures.find(server.id);
    if (departure == this->departures.end() || departure->second.incarnation != server.incarnation)
        return;
    departure->second.doubtedUntil = now + this->timings.restoredEntryDoubt;
    const auto found = this->records.find(server.id);
    if (found != this->records.end() && found->second.removedAt)
        found->second.suspectedUntil = *departure->second.doubtedUntil;
}

void ServerFleet::onDepartureReported(const ServerLeavingNotice &notice, TimePoint now)
{
    this->forgetDepartures(now);
    this->reportedDepartures[notice.serverHash] = {notice.incarnation, now};
}

std::vector<ServerLeavingNotice> ServerFleet::leavingNotices(TimePoint now)
{
    this->forgetDepartures(now);
    std::vector<ServerLeavingNotice> notices;
    for (const auto &[id, record] : this->records) {
        if (record.server.draining || record.announcedLeaving)
            notices.push_back({hash32(id), record.server.incarnation});
    }
    for (const auto &[id, departure] : this->departures) {
        if (departure.wasLeaving && this->records.count(id) == 0)
            notices.push_back({hash32(id), departure.incarnation});
    }
    return notices;
}

void ServerFleet::remove(const ServerId &server, bool mayHaveExpired, TimePoint now)
{
    this->removeExpired(now);
    const auto found = this->records.find(server);
    if (found == this->records.end() || found->second.removedAt)
        return;
    Record &record = found->second;
    const bool leaving = record.server.draining || record.announcedLeaving;
    const bool mayReturn = mayHaveExpired && !leaving;
    this->log.write(Event::ServerDown,
                    {{"server", server}, {"source", "entry"}, {"may_have_lapsed", mayReturn}});
    this->forgetDepartures(now);
    this->departures[server] = {record.server.incarnation, leaving, now, std::nullopt};
    if (!mayHaveExpired)
        this->recordDisappearance(record, now);
    if (leaving) {
        this->serverLimits.forget(server);
        this->warmUps.forget(server);
        this->serverPace.forget(server);
        this->records.erase(found);
        return;
    }
    record.removedAt = now;
    record.expiresAt = mayReturn ? now + this->timings.expiredEntryGrace : now;
    this->graceIfMostRemoved(record.server.pool, now);
}

void ServerFleet::removeExpired(TimePoint now)
{
    for (auto record = this->records.begin(); record != this->records.end();) {
        const std::optional<TimePoint> removedAt = record->second.removedAt;
        const bool isGone = removedAt && now - *removedAt > this->timings.expiredEntryGrace;
        if (isGone) {
            this->serverLimits.forget(record->first);
            this->warmUps.forget(record->first);
            this->serverPace.forget(record->first);
        }
        record = isGone ? this->records.erase(record) : std::next(record);
    }
}

void ServerFleet::forgetDepartures(TimePoint now)
{
    for (auto departure = this->departures.begin(); departure != this->departures.end();) {
        const bool isOld = now - departure->second.removedAt > this->timings.departureMemory;
        departure = isOld ? this->departures.erase(departure) : std::next(departure);
    }
    for (auto report = this->reportedDepartures.begin();
         report != this->reportedDepartures.end();) {
        const bool isOld = now - report->second.reportedAt > this->timings.departureMemory;
        report = isOld ? this->reportedDepartures.erase(report) : std::next(report);
    }
    for (auto *times : {&this->disappearances, &this->refusedConnections}) {
        for (auto gone = times->begin(); gone != times->end();) {
            const bool isOld = now - gone->second > this->timings.departureMemory;
            gone = isOld ? times->erase(gone) : std::next(gone);
        }
    }
}

bool ServerFleet::isLeaving(const Record &record)
{
    return record.server.draining || record.announcedLeaving || record.removedAt;
}

void ServerFleet::recordDisappearance(const Record &record, TimePoint now)
{
    if (!this->isLeaving(record))
        this->disappearances[record.server.id] = now;
}

bool ServerFleet::onConnectionRefused(const ServerId &server, TimePoint now)
{
    const auto found = this->records.find(server);
    if (found == this->records.end() || this->isLeaving(found->second))
        return false;
    this->refusedConnections[server] = now;
    const bool isNews = this->warmUps.onConnectionRefused(found->second.server,
                                                          this->timings.maxSuspicion, now);
    if (isNews)
        this->applyWarmUp(found->second.server, now);
    return isNews;
}

std::optional<TimePoint> ServerFleet::disappearedAt(const ServerId &server) const
{
    std::optional<TimePoint> latest;
    for (const auto *times : {&this->disappearances, &this->refusedConnections}) {
        const auto found = times->find(server);
        if (found != times->end())
            latest = std::max(latest.value_or(found->second), found->second);
    }
    return latest;
}

void ServerFleet::graceIfMostRemoved(const std::string &pool, TimePoint now)
{
    std::vector<Record *> removed;
    std::size_t registered = 0;
    for (auto &[id, record] : this->records) {
        if (record.server.pool != pool || record.server.draining || record.announcedLeaving)
            continue;
        if (!record.removedAt)
            ++registered;
        else if (now - *record.removedAt < this->timings.removalMergeWindow)
            removed.push_back(&record);
    }
    const auto total = static_cast<double>(registered + removed.size());
    if (removed.size() < MinRemovedTogether
        || static_cast<double>(removed.size()) <= total * this->timings.maxRemovedFraction)
        return;
    for (Record *record : removed)
        record->expiresAt = *record->removedAt + this->timings.expiredEntryGrace;
}

const GatewayServer *ServerFleet::find(const ServerId &server) const
{
    const auto found = this->records.find(server);
    return found == this->records.end() ? nullptr : &found->second.server;
}

std::vector<const GatewayServer *> ServerFleet::usable(const std::string &pool, TimePoint now) const
{
    std::vector<const Record *> chosen;
    std::vector<const Record *> suspected;
    std::vector<const Record *> paced;
    bool hasSoundServer = false;
    for (const auto &[id, record] : this->records) {
        if (record.server.pool != pool || !this->isSchedulable(record, now))
            continue;
        const bool isSuspected = record.suspectedUntil > now;
        hasSoundServer = hasSoundServer || !isSuspected;
        if (!this->serverLimits.mayReceive(id, now))
            continue;
        const bool isPaced = !isSuspected && !this->serverPace.admits(id, now);
        (isSuspected ? suspected : isPaced ? paced : chosen).push_back(&record);
    }
    if (chosen.empty())
        chosen = paced;
    if (!hasSoundServer)
        chosen = suspected;
    std::sort(chosen.begin(), chosen.end(),
              [](const Record *left, const Record *right) { return left->rank < right->rank; });
    std::vector<const GatewayServer *> servers;
    servers.reserve(chosen.size());
    for (const Record *record : chosen)
        servers.push_back(&record->server);
    return servers;
}

bool ServerFleet::isUsable(const ServerId &server, TimePoint now) const
{
    const auto found = this->records.find(server);
    return found != this->records.end() && this->isSchedulable(found->second, now)
           && this->serverLimits.mayReceive(server, now);
}

double ServerFleet::rank(const ServerId &server) const
{
    const auto found = this->records.find(server);
    return found == this->records.end() ? 1.0 : found->second.rank;
}

bool ServerFleet::isSchedulable(const Record &record, TimePoint now) const
{
    return record.pausedUntil <= now && !this->isLeavingOrGone(record, now)
           && !this->isOutOfService(record.server);
}

bool ServerFleet::isLeavingOrGone(const Record &record, TimePoint now) const
{
    return record.server.draining || record.announcedLeaving
           || (record.expiresAt && *record.expiresAt <= now);
}

} // namespace dotterel
