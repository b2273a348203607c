// Faults of SoakRun that follow the users' drills: a store that comes back from a copy, connections
// that fall silent, servers that leave or pause by their answers, and series of restarts.

#include "platform/soak/soak_run.h"

#include <algorithm>
#include <cmath>
#include <csignal>

namespace dotterel::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration CopyInterval = milliseconds(500);
constexpr std::size_t MaxCopies = 10;
constexpr std::uint64_t MinAwayMs = 200;
constexpr std::uint64_t AwaySpreadMs = 1'300;
/// What was written since the copy is written again within these times.
constexpr std::uint64_t OperatorRewriteMs = 800;
constexpr std::uint64_t ServerRewriteMs = 1'500;
/// Entries of servers that are gone expire after this time.
constexpr Duration EntryExpiry = milliseconds(3'600);
constexpr std::uint64_t SkippedRevisions = 3'000;
constexpr std::uint64_t MinPauseMs = 700;
constexpr std::uint64_t PauseSpreadMs = 3'300;
constexpr Duration RestartGap = milliseconds(400);
/// Mean time between two limits, their range in requests per second, and how long they are named.
constexpr std::uint64_t MeanLimitIntervalMs = 5'000;
constexpr double MinLimit = 0.3;
constexpr double MaxLimit = 15.0;
constexpr std::uint64_t MinLimitMs = 4'000;
constexpr std::uint64_t LimitSpreadMs = 6'000;

} // namespace

void SoakRun::startDrill()
{
    switch (this->random.nextBelow(8)) {
    case 0:
        return this->restoreStore();
    case 1:
        return this->startSilence();
    case 2:
        return this->leaveByHeader();
    case 3:
        return this->pauseServers();
    case 4:
        return this->drainServer();
    default:
        return this->publishConfiguration();
    }
}

void SoakRun::takeCopies()
{
    if (!this->storeAway) {
        this->storeCopies.push_back(this->store.copy());
        if (this->storeCopies.size() > MaxCopies)
            this->storeCopies.pop_front();
    }
    this->runAfter(CopyInterval, [this] { this->takeCopies(); });
}

void SoakRun::disturbAllHosts()
{
    for (std::size_t host = 0; host < this->hosts.size(); ++host)
        this->disturbHost(host);
}

void SoakRun::restoreStore()
{
    if (this->storeAway || this->storeCopies.empty())
        return;
    this->storeAway = true;
    this->bounds.onDomainInService(this->domainOutOfService);
    this->disturbAllHosts();
    this->store.setFault(StoreFault::CloseConnections);
    this->store.closeWatches();
    const SoakStore::Copy copy =
            this->storeCopies[this->random.nextBelow(this->storeCopies.size())];
    const bool counterAhead = this->random.nextDouble() < 0.5;
    this->runAfter(milliseconds(MinAwayMs + this->random.nextBelow(AwaySpreadMs)),
                   [this, copy, counterAhead] {
                       this->store.restore(copy);
                       if (counterAhead)
                           this->store.skipRevisions(SkippedRevisions);
                       this->store.setFault(StoreFault::None);
                       this->storeCopies.clear();
                       this->disturbAllHosts();
                       this->rewriteLostEntries();
                   });
}

void SoakRun::rewriteLostEntries()
{
    this->runAfter(milliseconds(this->random.nextBelow(OperatorRewriteMs)), [this] {
        this->store.put("config", "main", this->newestConfiguration);
        this->storeAway = false;
        this->rewriteDomainEntry();
    });
    for (const auto &server : this->servers) {
        const std::string id = server->serverId();
        const bool registered = this->registeredServers.count(id) > 0;
        if (!registered) {
            // The copy may show an entry that was removed since.
            this->runAfter(EntryExpiry, [this, id] { this->store.remove("servers", id); });
            continue;
        }
        this->runAfter(milliseconds(this->random.nextBelow(ServerRewriteMs)),
                       [this, server = server.get()] {
                           if (this->registeredServers.count(server->serverId()) > 0)
                               this->writeServerEntry(*server);
                       });
    }
}

void SoakRun::writeServerEntry(const SoakServer &server)
{
    const bool draining = this->drainingServers.count(server.serverId()) > 0;
    this->store.put("servers", server.serverId(), server.registrationEntry(draining));
    if (draining)
        this->bounds.onWithdrawn(server.serverId(), this->loop.now());
}

void SoakRun::startSilence()
{
    const std::uint64_t target = this->random.nextBelow(4);
    const bool all = this->random.nextDouble() < 0.5;
    if (target == 0) {
        for (SoakServer *server : this->activeServers)
            if (all || this->random.nextDouble() < 0.5)
                server->linkProxy().silenceConnections();
    } else {
        for (Host &host : this->hosts)
            if (all || this->random.nextDouble() < 0.5)
                host.storeProxy->silenceConnections();
    }
    this->disturbAllHosts();
}

void SoakRun::leaveByHeader()
{
    if (this->storeAway)
        return;
    const std::size_t index = this->random.nextBelow(this->activeServers.size());
    SoakServer *server = this->activeServers[index];
    this->activeServers.erase(this->activeServers.begin() + static_cast<std::ptrdiff_t>(index));
    this->addServer(server->poolName());
    server->leaveByHeader();
    this->runAfter(seconds(3) + this->randomFaultDuration(),
                   [this, server] { this->unregisterServer(server->serverId()); });
}

void SoakRun::pauseServers()
{
    const SoakServer *chosen =
            this->activeServers[this->random.nextBelow(this->activeServers.size())];
    const bool wholePool = this->random.nextDouble() < 0.5;
    const TimePoint until =
            this->loop.now() + milliseconds(MinPauseMs + this->random.nextBelow(PauseSpreadMs));
    for (SoakServer *server : this->activeServers)
        if (server == chosen || (wholePool && server->poolName() == chosen->poolName()))
            server->pauseUntil(until);
}

void SoakRun::scheduleLimits()
{
    this->runAfter(milliseconds(1 + this->limitRandom.nextBelow(2 * MeanLimitIntervalMs)), [this] {
        if (this->faultsEnded)
            return;
        this->limitServers();
        this->scheduleLimits();
    });
}

void SoakRun::limitServers()
{
    if (this->activeServers.empty())
        return;
    const SoakServer *chosen =
            this->activeServers[this->limitRandom.nextBelow(this->activeServers.size())];
    const bool wholePool = this->limitRandom.nextDouble() < 0.3;
    const double limit = MinLimit * std::pow(MaxLimit / MinLimit, this->limitRandom.nextDouble());
    for (SoakServer *server : this->activeServers)
        if (server == chosen || (wholePool && server->poolName() == chosen->poolName()))
            server->nameLimit(limit);
    const std::string pool = wholePool ? chosen->poolName() : std::string();
    const std::string id = chosen->serverId();
    this->runAfter(milliseconds(MinLimitMs + this->limitRandom.nextBelow(LimitSpreadMs)),
                   [this, pool, id] {
                       for (const auto &server : this->servers)
                           if (server->serverId() == id || server->poolName() == pool)
                               server->nameLimit(std::nullopt);
                   });
}

void SoakRun::losePower()
{
    if (this->storeAway)
        return;
    this->publishConfiguration();
    for (std::size_t host = 0; host < this->hosts.size(); ++host)
        this->killHost(host);
    for (const auto &server : this->servers)
        server->linkProxy().resetConnections();
    this->store.setFault(StoreFault::CloseConnections);
    this->store.closeWatches();
    this->runAfter(milliseconds(MinAwayMs + this->random.nextBelow(AwaySpreadMs)),
                   [this] { this->store.setFault(StoreFault::None); });
}

void SoakRun::restartInSeries()
{
    Duration delay = Duration::zero();
    for (std::size_t host = 0; host < this->hosts.size(); ++host) {
        const bool restarts = this->random.nextDouble() < 0.7;
        this->runAfter(delay, [this, host, restarts] {
            if (this->faultsEnded)
                return;
            if (restarts)
                this->shutDownHost(host);
            else if (!this->hosts[host].expectsExit && this->hosts[host].callerEndpoint)
                this->hosts[host].process->signal(SIGHUP);
            if (host % 2 == 1)
                this->publishConfiguration();
        });
        delay += RestartGap;
    }
}

} // namespace dotterel::soak
