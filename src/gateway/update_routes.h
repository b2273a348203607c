#pragma once

#include "core/random_source.h"
#include "core/time.h"
#include "transport/endpoint.h"

#include <map>
#include <string>
#include <vector>

namespace dotterel {

/// A live host that gets prompt updates.
struct UpdatePeer
{
    Endpoint endpoint;
    std::string failureDomain;
    std::uint32_t senderHash = 0; ///< Of its own updates.
    bool forwardsUpdates = false; ///< Hosts of earlier versions do not.
};

/// Parameters of UpdateRoutes.
struct UpdateRouteSettings
{
    /// Failure domains with fewer hosts get updates directly.
    std::size_t minForwardedHosts = 8;
    /// Each batch goes to this many hosts of another failure domain, since one may have just died.
    std::size_t forwardersPerDomain = 2;
    /// Only hosts whose own updates arrived this recently forward: longer than their interval at
    /// times of load, shorter than the detection of a dead member.
    Duration recentUpdate = std::chrono::seconds(1);
};

/// Receivers of one batch of updates.
struct UpdateReceivers
{
    std::vector<Endpoint> direct;
    /// Each also sends the batch to the other hosts of its failure domain.
    std::vector<Endpoint> forwarders;
};

/// Chooses the receivers of prompt updates. Answers fleets of many hosts, in which each update to
/// each host makes up most of the bytes between failure domains: two hosts of each other domain get
/// a batch and pass it on inside. Performs no I/O.
class UpdateRoutes
{
public:
    UpdateRoutes(const UpdateRouteSettings &settings, std::string failureDomain,
                 RandomSource &random);

    /// Sets the live members, without this host, and further addresses that may not be members yet.
    void setPeers(std::vector<UpdatePeer> members, const std::vector<Endpoint> &others);

    /// Records that updates of the host \a senderHash arrived.
    void onReceived(std::uint32_t senderHash, TimePoint now);

    /// Returns who gets the next batch. Differs from call to call.
    UpdateReceivers receivers(TimePoint now);

    /// Returns to whom a batch is passed on that another domain sent for this one.
    std::vector<Endpoint> domainPeers() const;

private:
    bool mayForward(const UpdatePeer &peer, TimePoint now) const;

    UpdateRouteSettings settings;
    std::string failureDomain;
    RandomSource &random;
    std::map<std::string, std::vector<UpdatePeer>> membersByDomain;
    std::vector<Endpoint> others;
    std::map<std::uint32_t, TimePoint> receivedAt; ///< By sender.
};

} // namespace dotterel
