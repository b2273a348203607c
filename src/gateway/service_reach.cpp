#include "gateway/service_reach.h"

#include <algorithm>

namespace dotterel {

namespace {

/// Servers that have to fail with no contact between, of all and of the sound ones; all of a
/// smaller pool.
constexpr std::size_t RequiredFailedServers = 3;
/// Probes that have to be answered in a row. Hysteresis keeps requests off a path that works only
/// now and then.
constexpr int RequiredAnsweredProbes = 2;

} // namespace

ServiceReach::ServiceReach(EventLog &log)
    : log(log)
{}

void ServiceReach::onContact(const std::string &pool, const ServerId &server, TimePoint now)
{
    Record &record = this->records[pool];
    record.lastContact = now;
    for (const ServerId &failed : record.failedServers) {
        record.soundServers.erase(failed);
        record.deadServers.insert(failed);
    }
    record.deadServers.erase(server);
    record.soundServers.insert(server);
    // Streams may live on at a host that cannot open new connections, so that contact alone does
    // not bring a pool back.
    record.failedServers.clear();
}

bool ServiceReach::onFailure(const std::string &pool, const ServerId &server, std::size_t poolSize,
                             TimePoint since, TimePoint now)
{
    Record &record = this->records[pool];
    if (this->hasHeardSince(pool, since))
        return false;
    record.failedServers.insert(server);
    const bool isDead = record.deadServers.count(server) > 0;
    if (record.lostAt || !showsLoss(record, poolSize))
        return !isDead;
    record.lostAt = now;
    record.confirmed = false;
    record.answeredProbes = 0;
    this->log.write(
            Event::ServiceOutOfReach,
            {{"pool", pool},
             {"failed_servers", static_cast<std::int64_t>(record.failedServers.size())},
             {"silent_ms", record.lastContact ? static_cast<std::int64_t>(
                                   (now - *record.lastContact) / std::chrono::milliseconds(1))
                                              : -1}});
    return !isDead;
}

bool ServiceReach::showsLoss(const Record &record, std::size_t poolSize)
{
    const std::set<ServerId> &failed = record.failedServers;
    if (failed.size() < std::min(RequiredFailedServers, std::max<std::size_t>(poolSize, 1)))
        return false;
    const auto hasFailed = [&failed](const ServerId &server) { return failed.count(server) > 0; };
    const auto failedSound = static_cast<std::size_t>(
            std::count_if(record.soundServers.begin(), record.soundServers.end(), hasFailed));
    if (failedSound >= RequiredFailedServers)
        return true;
    // Too few servers have answered so far to speak for the others.
    const auto deadBefore = static_cast<std::size_t>(
            std::count_if(record.deadServers.begin(), record.deadServers.end(),
                          [&hasFailed](const ServerId &server) { return !hasFailed(server); }));
    return failed.size() + deadBefore >= poolSize;
}

void ServiceReach::onProbe(const std::string &pool, const ServerId &server, bool answered,
                           TimePoint now)
{
    const auto found = this->records.find(pool);
    if (found == this->records.end() || !found->second.lostAt)
        return;
    Record &record = found->second;
    if (!answered && !record.soundServers.empty() && record.deadServers.count(server) > 0)
        return;
    record.answeredProbes = answered ? record.answeredProbes + 1 : 0;
    record.confirmed = record.confirmed || !answered;
    if (record.answeredProbes >= RequiredAnsweredProbes)
        this->regain(pool, record, "probe", now);
}

void ServiceReach::onServerStarted(const std::string &pool, const ServerId &server, TimePoint now)
{
    this->onServerRemoved(server);
    const auto found = this->records.find(pool);
    if (found != this->records.end() && found->second.lostAt)
        this->regain(pool, found->second, "new_server", now);
}

void ServiceReach::onServerRemoved(const ServerId &server)
{
    for (auto &[pool, record] : this->records) {
        for (auto *servers : {&record.failedServers, &record.soundServers, &record.deadServers})
            servers->erase(server);
    }
}

void ServiceReach::regain(const std::string &pool, Record &record, const char *source,
                          TimePoint now)
{
    this->log.write(Event::ServiceReachable,
                    {{"pool", pool},
                     {"source", std::string(source)},
                     {"lost_ms", static_cast<std::int64_t>((now - *record.lostAt)
                                                           / std::chrono::milliseconds(1))}});
    record.lostAt.reset();
    record.failedServers.clear();
}

const std::set<ServerId> &ServiceReach::deadServers(const std::string &pool) const
{
    static const std::set<ServerId> none;
    const auto found = this->records.find(pool);
    return found == this->records.end() ? none : found->second.deadServers;
}

bool ServiceReach::isOutOfReach(const std::string &pool) const
{
    const auto found = this->records.find(pool);
    return found != this->records.end() && found->second.lostAt.has_value();
}

bool ServiceReach::isConfirmed(const std::string &pool) const
{
    const auto found = this->records.find(pool);
    return found != this->records.end() && found->second.lostAt && found->second.confirmed;
}

bool ServiceReach::hasHeardSince(const std::string &pool, TimePoint time) const
{
    const auto found = this->records.find(pool);
    return found != this->records.end() && found->second.lastContact
           && *found->second.lastContact > time;
}

std::vector<std::string> ServiceReach::outOfReach() const
{
    std::vector<std::string> pools;
    for (const auto &[pool, record] : this->records) {
        if (record.lostAt)
            pools.push_back(pool);
    }
    return pools;
}

std::vector<std::string> ServiceReach::doubted() const
{
    std::vector<std::string> pools;
    for (const auto &[pool, record] : this->records) {
        if (!record.lostAt && !record.failedServers.empty())
            pools.push_back(pool);
    }
    return pools;
}

} // namespace dotterel
