// The part of GatewayHost that shares with other hosts what servers take and who reaches them.

#include "core/hashing.h"
#include "entry_host/gateway_host.h"

#include <algorithm>

namespace dotterel {

namespace {

/// Servers of a pool that are probed with each heartbeat while it is out of reach, or may be.
constexpr std::size_t ProbedServers = 2;
constexpr Duration ProbeConnectTimeout = std::chrono::milliseconds(400);
constexpr Duration ProbeTimeout = std::chrono::milliseconds(800);

} // namespace

void GatewayHost::shareLimits(std::size_t liveHosts)
{
    const std::size_t allHosts = std::max({liveHosts, this->listedHosts, std::size_t{1}});
    this->fleet.limits().setFleetShare(static_cast<double>(std::max<std::size_t>(liveHosts, 1))
                                       / static_cast<double>(allHosts));
    this->controller.setHostCount(allHosts);
    this->metrics.set(Gauge::BackendServersLimited,
                      static_cast<double>(this->fleet.limits().limitedServers()));
    this->metrics.set(Gauge::BackendServersWarmingUp,
                      static_cast<double>(this->fleet.settleWarmUps(this->loop.now())));
    this->metrics.set(Gauge::BackendServersPaced,
                      static_cast<double>(this->fleet.pace().settle(this->loop.now())));
}

void GatewayHost::sendServerNotices(const Endpoint &peer)
{
    this->promptUpdates.sendLimits(peer, this->fleet.limits().notices());
    this->promptUpdates.sendWarmUps(peer, this->fleet.warmUpNotices(this->loop.now()));
    this->promptUpdates.sendLeaving(peer, this->fleet.leavingNotices(this->loop.now()));
}

void GatewayHost::recordWarmUp(std::uint32_t senderHash, const ServerWarmUpNotice &notice)
{
    const auto id = this->serversByHash.find(notice.serverHash);
    if (id != this->serversByHash.end())
        this->fleet.onWarmUpNotice(id->second, senderHash, notice, this->loop.now());
}

void GatewayHost::recordLimit(std::uint32_t senderHash, const ServerLimitNotice &notice)
{
    const auto id = this->serversByHash.find(notice.serverHash);
    if (id == this->serversByHash.end())
        return;
    const GatewayServer *server = this->fleet.find(id->second);
    if (server == nullptr || server->incarnation != notice.incarnation)
        return;
    ServerLimits &limits = this->fleet.limits();
    if (!limits.onNotice(id->second, senderHash, notice, this->loop.now()))
        return;
    if (const std::optional<ServerLimitNotice> later = limits.notice(id->second))
        this->promptUpdates.enqueueLimit(*later);
}

void GatewayHost::countRemoteDispatch(std::uint32_t senderHash, const PromptUpdate &dispatch)
{
    std::vector<std::uint32_t> servers = dispatch.helperHashes;
    servers.push_back(dispatch.serverHash);
    for (const std::uint32_t server : servers) {
        const auto id = this->serversByHash.find(server);
        if (id != this->serversByHash.end())
            this->fleet.limits().onRequestElsewhere(id->second, senderHash, this->loop.now());
    }
}

void GatewayHost::updateRelayPeers(const std::vector<MemberRecord> &live)
{
    std::vector<RelayPeer> peers;
    for (const MemberRecord &member : live) {
        const HostIdentity &identity = member.identity;
        if (identity.host == this->identity.host || member.relayPort == 0 || member.leaving)
            continue;
        peers.push_back({identity.host,
                         identity.failureDomain,
                         {member.peerEndpoint.address, member.relayPort},
                         promptSenderHash(identity)});
    }
    this->relayPeers.setLive(std::move(peers));
}

void GatewayHost::checkReach()
{
    const std::vector<std::string> pools = this->reach.outOfReach();
    this->metrics.set(Gauge::PoolsOutOfReach, static_cast<double>(pools.size()));
    for (const std::string &pool : this->reach.doubted())
        this->probePool(pool);
    if (pools.empty())
        return;
    std::vector<std::uint32_t> hashes;
    for (const std::string &pool : pools) {
        hashes.push_back(hash32(pool));
        this->probePool(pool);
    }
    this->promptUpdates.announceOutOfReach(hashes);
}

void GatewayHost::probePool(const std::string &pool)
{
    std::vector<const GatewayServer *> servers;
    std::vector<const GatewayServer *> dead;
    const std::set<ServerId> &knownDead = this->reach.deadServers(pool);
    for (const GatewayServer *server : this->fleet.all(this->loop.now())) {
        if (server->pool == pool && !server->draining && !this->fleet.isOutOfService(*server))
            (knownDead.count(server->id) > 0 ? dead : servers).push_back(server);
    }
    // Dead servers tell nothing about the path.
    if (servers.empty())
        servers = dead;
    for (std::size_t count = 0; count < std::min(ProbedServers, servers.size()); ++count) {
        const GatewayServer &server = *servers[this->nextProbe % servers.size()];
        this->sendProbe(server, this->protocol.probeRequest(server.endpoint));
    }
}

void GatewayHost::probeServer(const GatewayServer &server)
{
    const auto &configuration = this->routes->configuration();
    const auto pool = configuration->pools.find(server.pool);
    const bool isKnown = pool != configuration->pools.end();
    this->sendProbe(server, this->protocol.identityProbe(server, isKnown ? pool->second.healthPath
                                                                         : std::string()));
}

void GatewayHost::sendProbe(const GatewayServer &server, HttpRequest request)
{
    const std::uint64_t id = this->nextProbe++;
    request.connectTimeout = ProbeConnectTimeout;
    request.timeout = ProbeTimeout;
    this->probes[id] = std::make_unique<HttpFetch>(
            this->httpClient, request,
            [this, id, server, sentAt = this->loop.now()](
                    const std::optional<HttpResponse> &response, const HttpFailure & /*failure*/) {
                // The fetch is still on the call stack, so it must not be destroyed here.
                const std::shared_ptr<HttpFetch> finishedFetch = std::move(this->probes[id]);
                this->probes.erase(id);
                this->loop.disposeLater(finishedFetch);
                const TimePoint now = this->loop.now();
                this->reach.onProbe(server.pool, server.id, response.has_value(), now);
                if (response)
                    this->reach.onContact(server.pool, server.id, now);
                else
                    this->reach.onFailure(server.pool, server.id,
                                          this->fleet.size(server.pool, now), sentAt, now);
                if (response && this->protocol.isFromIncarnation(server, *response))
                    this->controller.onServerAlive(server.id, server.incarnation, now);
            });
}

} // namespace dotterel
