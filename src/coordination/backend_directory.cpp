#include "coordination/backend_directory.h"

#include "core/enum_names.h"

#include <array>
#include <utility>

namespace dotterel {

namespace {

constexpr std::array<EnumName<ServerState>, 3> ServerStateNames = {{
        {ServerState::Up, "up"},
        {ServerState::Draining, "draining"},
        {ServerState::Down, "down"},
}};

constexpr Duration DownRetryDelay = std::chrono::seconds(1);

/// The host list read by a peer may be newer than the local one by up to this time.
constexpr Duration HostListLag = std::chrono::seconds(5);

} // namespace

std::string_view serverStateName(ServerState state)
{
    return enumName(ServerStateNames, state);
}

BackendDirectory::BackendDirectory(EventLog &log, Metrics &metrics)
    : log(log)
    , metrics(metrics)
{}

void BackendDirectory::applyConfiguration(const Configuration &configuration)
{
    std::map<ServerId, Entry> newEntries;
    for (const auto &[id, server] : configuration.servers) {
        Entry entry;
        const auto knownEntry = this->entries.find(id);
        // A server at a new endpoint is a different process, so no state carries over.
        if (knownEntry != this->entries.end()
            && knownEntry->second.server.endpoint == server.endpoint)
            entry = knownEntry->second;
        entry.server = server;
        newEntries.emplace(id, entry);
    }
    // Removal resets the draining state, so that a server that is added again is usable.
    for (const auto &[id, entry] : this->entries) {
        if (entry.leaving && newEntries.count(id) == 0)
            this->found.push_back({id, ++this->sequences[id], false, false});
    }
    this->entries = std::move(newEntries);
    this->modelPools.clear();
    for (const auto &[name, pool] : configuration.pools) {
        if (pool.kind == PoolKind::Model)
            this->modelPools.insert(name);
    }
    this->metrics.set(Gauge::BackendServersUsable, static_cast<double>(this->entries.size()));
}

std::vector<const BackendServer *> BackendDirectory::usable(const std::string &pool,
                                                            TimePoint now) const
{
    std::vector<const BackendServer *> servers;
    for (const auto &[id, entry] : this->entries) {
        if (entry.server.pool == pool && this->state(id, now) == ServerState::Up)
            servers.push_back(&entry.server);
    }
    return servers;
}

const BackendServer *BackendDirectory::find(const ServerId &id) const
{
    const auto entry = this->entries.find(id);
    return entry == this->entries.end() ? nullptr : &entry->second.server;
}

ServerState BackendDirectory::state(const ServerId &id, TimePoint now) const
{
    const auto entry = this->entries.find(id);
    if (entry == this->entries.end())
        return ServerState::Down;
    if (entry->second.leaving || entry->second.server.draining)
        return ServerState::Draining;
    if (entry->second.down && now < entry->second.retryAt)
        return ServerState::Down;
    return ServerState::Up;
}

void BackendDirectory::markDraining(const ServerId &id)
{
    const auto entry = this->entries.find(id);
    if (entry == this->entries.end())
        return;
    if (!entry->second.leaving || entry->second.byList)
        this->setLeaving(id, entry->second, true, false);
}

void BackendDirectory::markReturned(const ServerId &id)
{
    const auto entry = this->entries.find(id);
    if (entry != this->entries.end() && entry->second.leaving)
        this->setLeaving(id, entry->second, false, false);
}

void BackendDirectory::applyList(const std::set<ServerId> &leaving, TimePoint now)
{
    for (auto &[id, entry] : this->entries) {
        if (leaving.count(id) > 0) {
            entry.listedHere = true;
            entry.changed = now;
            if (!entry.leaving)
                this->setLeaving(id, entry, true, true);
            continue;
        }
        const bool markRemoved = std::exchange(entry.listedHere, false);
        const bool staleMark = entry.byList && now - entry.changed >= HostListLag;
        if (entry.leaving && (markRemoved || staleMark))
            this->setLeaving(id, entry, false, false);
    }
}

void BackendDirectory::applyNotice(const ServerNotice &notice, TimePoint now)
{
    std::uint64_t &sequence = this->sequences[notice.server];
    const auto entry = this->entries.find(notice.server);
    const bool isConfigured = entry != this->entries.end();
    const bool wasDraining = isConfigured && entry->second.leaving;
    const bool isNewer = notice.sequence > sequence
                         || (notice.sequence == sequence && notice.draining && !wasDraining);
    if (!isNewer)
        return;
    sequence = notice.sequence;
    if (!isConfigured)
        return;
    if (notice.draining != wasDraining)
        this->log.write(notice.draining ? Event::ServerDraining : Event::ServerUp,
                        {{"server", notice.server}});
    entry->second.leaving = notice.draining;
    entry->second.byList = notice.byList;
    entry->second.changed = now;
}

std::vector<ServerNotice> BackendDirectory::takeNotices()
{
    return std::exchange(this->found, {});
}

std::vector<ServerId> BackendDirectory::modelServers() const
{
    std::vector<ServerId> servers;
    for (const auto &[id, entry] : this->entries) {
        if (this->modelPools.count(entry.server.pool) > 0)
            servers.push_back(id);
    }
    return servers;
}

std::vector<ServerId> BackendDirectory::drainingByOwnWord() const
{
    std::vector<ServerId> servers;
    for (const auto &[id, entry] : this->entries) {
        const bool model = this->modelPools.count(entry.server.pool) > 0;
        if (entry.leaving && !entry.byList && !entry.listedHere && model)
            servers.push_back(id);
    }
    return servers;
}

void BackendDirectory::setLeaving(const ServerId &id, Entry &entry, bool leaving, bool byList)
{
    if (entry.leaving != leaving)
        this->log.write(leaving ? Event::ServerDraining : Event::ServerUp, {{"server", id}});
    entry.leaving = leaving;
    entry.byList = byList;
    this->found.push_back({id, ++this->sequences[id], leaving, byList});
}

void BackendDirectory::markDown(const ServerId &id, TimePoint now)
{
    const auto entry = this->entries.find(id);
    if (entry == this->entries.end())
        return;
    if (!entry->second.down)
        this->log.write(Event::ServerDown, {{"server", id}});
    entry->second.down = true;
    entry->second.retryAt = now + DownRetryDelay;
}

void BackendDirectory::markUp(const ServerId &id)
{
    const auto entry = this->entries.find(id);
    if (entry == this->entries.end() || !entry->second.down)
        return;
    entry->second.down = false;
    this->log.write(Event::ServerUp, {{"server", id}});
}

} // namespace dotterel
