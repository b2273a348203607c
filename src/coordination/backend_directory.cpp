#include "coordination/backend_directory.h"

#include "core/enum_names.h"

#include <array>

namespace dotterel {

namespace {

constexpr std::array<EnumName<ServerState>, 3> ServerStateNames = {{
        {ServerState::Up, "up"},
        {ServerState::Draining, "draining"},
        {ServerState::Down, "down"},
}};

constexpr Duration DownPause = std::chrono::seconds(1);

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
    std::map<ServerId, Entry> next;
    for (const auto &[id, server] : configuration.servers) {
        Entry entry;
        const auto known = this->entries.find(id);
        // A server at another address is another process, about which nothing is known.
        if (known != this->entries.end() && known->second.server.endpoint == server.endpoint)
            entry = known->second;
        entry.server = server;
        next.emplace(id, entry);
    }
    this->entries = std::move(next);
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
    if (entry == this->entries.end() || entry->second.leaving)
        return;
    entry->second.leaving = true;
    this->log.write(Event::ServerDraining, {{"server", id}});
}

void BackendDirectory::markDown(const ServerId &id, TimePoint now)
{
    const auto entry = this->entries.find(id);
    if (entry == this->entries.end())
        return;
    if (!entry->second.down)
        this->log.write(Event::ServerDown, {{"server", id}});
    entry->second.down = true;
    entry->second.retryAt = now + DownPause;
}

void BackendDirectory::markUp(const ServerId &id)
{
    const auto entry = this->entries.find(id);
    if (entry == this->entries.end() || !entry->second.down)
        return;
    entry->second.down = false;
    this->log.write(Event::ServerUp, {{"server", id}});
}

std::vector<ServerId> BackendDirectory::draining() const
{
    std::vector<ServerId> leaving;
    for (const auto &[id, entry] : this->entries) {
        if (entry.leaving)
            leaving.push_back(id);
    }
    return leaving;
}

} // namespace dotterel
