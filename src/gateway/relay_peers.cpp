#include "gateway/relay_peers.h"

#include "core/hashing.h"

#include <algorithm>

namespace dotterel {

namespace {

/// Hosts repeat with each heartbeat what they do not reach.
constexpr Duration ReportLifetime = std::chrono::milliseconds(1'500);
constexpr Duration UnreachableLifetime = std::chrono::seconds(1);

} // namespace

RelayPeers::RelayPeers(std::string failureDomain, RandomSource &random)
    : failureDomain(std::move(failureDomain))
    , random(random)
{}

void RelayPeers::onOutOfReach(std::uint32_t senderHash,
                              const std::vector<std::uint32_t> &poolHashes, TimePoint now)
{
    for (auto report = this->reportedAt.begin(); report != this->reportedAt.end();)
        report = now - report->second > ReportLifetime ? this->reportedAt.erase(report)
                                                       : std::next(report);
    for (const std::uint32_t pool : poolHashes)
        this->reportedAt[{senderHash, pool}] = now;
}

void RelayPeers::onRefused(const HostId &host, const std::string &pool, TimePoint now)
{
    for (const RelayPeer &peer : this->live) {
        if (peer.host == host)
            this->onOutOfReach(peer.senderHash, {hash32(pool)}, now);
    }
}

void RelayPeers::onUnreachable(const HostId &host, TimePoint now)
{
    this->unreachableAt[host] = now;
}

void RelayPeers::onEnded(const HostId &host)
{
    const auto found = this->inFlight.find(host);
    if (found != this->inFlight.end() && --found->second == 0)
        this->inFlight.erase(found);
}

bool RelayPeers::canServe(const RelayPeer &peer, std::uint32_t poolHash, TimePoint now) const
{
    const auto report = this->reportedAt.find({peer.senderHash, poolHash});
    if (report != this->reportedAt.end() && now - report->second <= ReportLifetime)
        return false;
    const auto unreachable = this->unreachableAt.find(peer.host);
    return unreachable == this->unreachableAt.end()
           || now - unreachable->second > UnreachableLifetime;
}

std::optional<RelayPeer> RelayPeers::choose(const std::string &pool,
                                            const std::set<HostId> &excluded, TimePoint now)
{
    const std::uint32_t poolHash = hash32(pool);
    std::vector<const RelayPeer *> able;
    std::vector<const RelayPeer *> ableNearby;
    std::size_t nearby = 0;
    for (const RelayPeer &peer : this->live) {
        const bool isNearby = peer.failureDomain == this->failureDomain;
        nearby += isNearby ? 1 : 0;
        if (excluded.count(peer.host) > 0 || !this->canServe(peer, poolHash, now))
            continue;
        able.push_back(&peer);
        if (isNearby)
            ableNearby.push_back(&peer);
    }
    if (!ableNearby.empty() && 2 * ableNearby.size() >= nearby)
        able = ableNearby;
    if (able.empty())
        return std::nullopt;
    const RelayPeer *first = able[this->random.nextBelow(able.size())];
    const RelayPeer *second = able[this->random.nextBelow(able.size())];
    const auto loadOf = [this](const RelayPeer *peer) {
        const auto found = this->inFlight.find(peer->host);
        return found == this->inFlight.end() ? std::size_t{0} : found->second;
    };
    return loadOf(second) < loadOf(first) ? *second : *first;
}

} // namespace dotterel
