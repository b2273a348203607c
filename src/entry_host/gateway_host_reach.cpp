// The part of GatewayHost that finds out whether servers are in reach, and who else reaches them.

#include "core/hashing.h"
#include "entry_host/gateway_host.h"

#include <algorithm>

namespace dotterel {

namespace {

/// Servers of a pool that are probed with each heartbeat while it is out of reach.
constexpr std::size_t ProbedServers = 2;
constexpr Duration ProbeConnectTimeout = std::chrono::milliseconds(400);
constexpr Duration ProbeTimeout = std::chrono::milliseconds(800);

} // namespace

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
    if (pools.empty())
        return;
    std::vector<std::uint32_t> hashes;
    for (const std::string &pool : pools) {
        hashes.push_back(hash32(pool));
        std::vector<const GatewayServer *> servers;
        for (const GatewayServer *server : this->fleet.all(this->loop.now())) {
            if (server->pool == pool && !server->draining)
                servers.push_back(server);
        }
        for (std::size_t count = 0; count < std::min(ProbedServers, servers.size()); ++count)
            this->probeServer(*servers[this->nextProbe++ % servers.size()]);
    }
    this->promptUpdates.announceOutOfReach(hashes);
}

void GatewayHost::probeServer(const GatewayServer &server)
{
    const std::uint64_t id = this->nextProbe;
    HttpRequest request = this->protocol.probeRequest(server.endpoint);
    request.connectTimeout = ProbeConnectTimeout;
    request.timeout = ProbeTimeout;
    this->probes[id] = std::make_unique<HttpFetch>(
            this->httpClient, request,
            [this, id, pool = server.pool](const std::optional<HttpResponse> &response,
                                           const HttpFailure & /*failure*/) {
                // The fetch is still on the call stack, so it must not be destroyed here.
                const std::shared_ptr<HttpFetch> finishedFetch = std::move(this->probes[id]);
                this->probes.erase(id);
                this->loop.disposeLater(finishedFetch);
                this->reach.onProbe(pool, response.has_value(), this->loop.now());
            });
}

} // namespace dotterel
