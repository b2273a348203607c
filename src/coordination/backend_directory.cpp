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
        if (entry.reportedDraining && newEntries.count(id) == 0)
            this->pendingNotices.push_back({id, ++this->noticeSequences[id], false, false});
    }
    this->entries = std::move(newEntries);
    this->modelPools.clear();
    for (const auto &[name, pool] : configuration.pools) {
        if (pool.kind == PoolKind::Model)
            this->modelPools.insert(name);
    }
    this->metrics.set(Gauge::BackendServersUsable, static_cast<double>(this->entries.size()));
}

std::vector<const BackendServer *> BackendDirectory::usableServers(const std::string &pool,
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
    if (entry->second.reportedDraining || entry->second.server.draining)
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
    if (!entry->second.reportedDraining || entry->second.markedByListOnly)
        this->setDraining(id, entry->second, true, false);
}

void BackendDirectory::clearDraining(const ServerId &id)
{
    const auto entry = this->entries.find(id);
    if (entry != this->entries.end() && entry->second.reportedDraining)
        this->setDraining(id, entry->second, false, false);
}

void BackendDirectory::applyHostList(const std::set<ServerId> &markedServers, TimePoint now)
{
    for (auto &[id, entry] : this->entries) {
        if (markedServers.count(id) > 0) {
            entry.markSeenLocally = true;
            entry.drainingUpdatedAt = now;
            if (!entry.reportedDraining)
                this->setDraining(id, entry, true, true);
            continue;
        }
        const bool markRemoved = std::exchange(entry.markSeenLocally, false);
        const bool staleMark =
                entry.markedByListOnly && now - entry.drainingUpdatedAt >= HostListLag;
        if (entry.reportedDraining && (markRemoved || staleMark))
            this->setDraining(id, entry, false, false);
    }
}

void BackendDirectory::applyServerNotice(const ServerDrainNotice &notice, TimePoint now)
{
    std::uint64_t &sequence = this->noticeSequences[notice.server];
    const auto entry = this->entries.find(notice.server);
    const bool isConfigured = entry != this->entries.end();
    const bool wasDraining = isConfigured && entry->second.reportedDraining;
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
    entry->second.reportedDraining = notice.draining;
    entry->second.markedByListOnly = notice.fromPlatformList;
    entry->second.drainingUpdatedAt = now;
}

std::vector<ServerDrainNotice> BackendDirectory::takePendingNotices()
{
    return std::exchange(this->pendingNotices, {});
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

std::vector<ServerId> BackendDirectory::selfReportedDraining() const
{
    std::vector<ServerId> servers;
    for (const auto &[id, entry] : this->entries) {
        const bool model = this->modelPools.count(entry.server.pool) > 0;
        if (entry.reportedDraining && !entry.markedByListOnly && !entry.markSeenLocally && model)
            servers.push_back(id);
    }
    return servers;
}

void BackendDirectory::setDraining(const ServerId &id, Entry &entry, bool reportedDraining,
                                   bool markedByListOnly)
{
    if (entry.reportedDraining != reportedDraining)
        this->log.write(reportedDraining ? Event::ServerDraining : Event::ServerUp,
                        {{"server", id}});
    entry.reportedDraining = reportedDraining;
    entry.markedByListOnly = markedByListOnly;
    this->pendingNotices.push_back(
            {id, ++this->noticeSequences[id], reportedDraining, markedByListOnly});
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
