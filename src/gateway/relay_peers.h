#pragma once

#include "core/identity.h"
#include "core/random_source.h"
#include "core/time.h"
#include "transport/endpoint.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dotterel {

/// A live host that accepts relayed requests.
struct RelayPeer
{
    HostId host;
    std::string failureDomain;
    Endpoint endpoint;            ///< Where it accepts them.
    std::uint32_t senderHash = 0; ///< See promptSenderHash().
};

/// Chooses the host to which a request is handed that this host cannot bring to a server. Prefers
/// the own failure domain while at least half of it is in reach of the pool, so that a domain that
/// is cut off does not press on its last host. Performs no I/O.
class RelayPeers
{
public:
    RelayPeers(std::string failureDomain, RandomSource &random);

    /// Replaces the live hosts.
    void setLive(std::vector<RelayPeer> peers) { this->live = std::move(peers); }

    /// Records that a host reports which pools, by the hash of their names, it does not reach.
    void onOutOfReach(std::uint32_t senderHash, const std::vector<std::uint32_t> &poolHashes,
                      TimePoint now);

    /// Records that \a host refused a request since it does not reach \a pool either.
    void onRefused(const HostId &host, const std::string &pool, TimePoint now);

    /// Records that \a host could not be connected to.
    void onUnreachable(const HostId &host, TimePoint now);

    /// Chooses a host for a request to \a pool, none of \a excluded; nullopt if there is none.
    std::optional<RelayPeer> choose(const std::string &pool, const std::set<HostId> &excluded,
                                    TimePoint now);

    /// Records a request handed to \a host, and its end.
    void onSent(const HostId &host) { ++this->inFlight[host]; }
    void onEnded(const HostId &host);

private:
    bool canServe(const RelayPeer &peer, std::uint32_t poolHash, TimePoint now) const;

    std::string failureDomain;
    RandomSource &random;
    std::vector<RelayPeer> live;
    std::map<HostId, std::size_t> inFlight;
    /// When a host, by its sender hash, last said that it does not reach a pool.
    std::map<std::pair<std::uint32_t, std::uint32_t>, TimePoint> reportedAt;
    std::map<HostId, TimePoint> unreachableAt;
};

} // namespace dotterel
