#include "gateway/update_routes.h"

#include <algorithm>
#include <set>

namespace dotterel {

UpdateRoutes::UpdateRoutes(const UpdateRouteSettings &settings, std::string failureDomain,
                           RandomSource &random)
    : settings(settings)
    , failureDomain(std::move(failureDomain))
    , random(random)
{}

void UpdateRoutes::setPeers(std::vector<UpdatePeer> members, const std::vector<Endpoint> &others)
{
    std::set<Endpoint> known;
    std::map<std::uint32_t, TimePoint> stillKnown;
    this->membersByDomain.clear();
    for (UpdatePeer &member : members) {
        known.insert(member.endpoint);
        const auto received = this->receivedAt.find(member.senderHash);
        if (received != this->receivedAt.end())
            stillKnown.insert(*received);
        this->membersByDomain[member.failureDomain].push_back(std::move(member));
    }
    this->receivedAt = std::move(stillKnown);
    this->others.clear();
    std::copy_if(others.begin(), others.end(), std::back_inserter(this->others),
                 [&known](const Endpoint &endpoint) { return known.count(endpoint) == 0; });
}

void UpdateRoutes::onReceived(std::uint32_t senderHash, TimePoint now)
{
    this->receivedAt[senderHash] = now;
}

bool UpdateRoutes::mayForward(const UpdatePeer &peer, TimePoint now) const
{
    const auto received = this->receivedAt.find(peer.senderHash);
    return peer.forwardsUpdates && received != this->receivedAt.end()
           && now - received->second <= this->settings.recentUpdate;
}

UpdateReceivers UpdateRoutes::receivers(TimePoint now)
{
    UpdateReceivers result;
    result.direct = this->others;
    for (const auto &[domain, members] : this->membersByDomain) {
        std::vector<Endpoint> forwarders;
        for (const UpdatePeer &member : members) {
            if (this->mayForward(member, now))
                forwarders.push_back(member.endpoint);
        }
        const bool isForwarded = domain != this->failureDomain
                                 && members.size() >= this->settings.minForwardedHosts
                                 && forwarders.size() >= this->settings.forwardersPerDomain;
        if (!isForwarded) {
            for (const UpdatePeer &member : members)
                result.direct.push_back(member.endpoint);
            continue;
        }
        for (std::size_t count = 0; count < this->settings.forwardersPerDomain; ++count) {
            const std::size_t index = this->random.nextBelow(forwarders.size() - count);
            result.forwarders.push_back(forwarders[index]);
            std::swap(forwarders[index], forwarders[forwarders.size() - 1 - count]);
        }
        for (const UpdatePeer &member : members) {
            if (!member.forwardsUpdates)
                result.direct.push_back(member.endpoint);
        }
    }
    return result;
}

std::vector<Endpoint> UpdateRoutes::domainPeers() const
{
    std::vector<Endpoint> peers;
    const auto domain = this->membersByDomain.find(this->failureDomain);
    if (domain == this->membersByDomain.end())
        return peers;
    for (const UpdatePeer &member : domain->second)
        peers.push_back(member.endpoint);
    return peers;
}

} // namespace dotterel
