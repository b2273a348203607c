#include "gateway/update_routes.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

using namespace dotterel;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t HostsPerDomain = 27;

Endpoint endpointOf(std::size_t host)
{
    return {"10.0.0." + std::to_string(host), 7'500};
}

/// Hosts 0 to 80 in the domains a, b and c, without host 0, which is this one.
std::vector<UpdatePeer> members()
{
    std::vector<UpdatePeer> result;
    for (std::size_t host = 1; host < 3 * HostsPerDomain; ++host) {
        const std::string domain(1, static_cast<char>('a' + host / HostsPerDomain));
        result.push_back({endpointOf(host), domain, static_cast<std::uint32_t>(host), true});
    }
    return result;
}

} // namespace

TEST_CASE("Updates cross into a failure domain of many hosts twice and are passed on there",
          "[Gateway][UpdateRoutes]")
{
    SeededRandom random(1);
    UpdateRoutes routes(UpdateRouteSettings{}, "a", random);
    const TimePoint now{seconds(100)};
    std::vector<UpdatePeer> peers = members();
    const auto hearFromAll = [&routes, &peers](TimePoint time) {
        for (const UpdatePeer &peer : peers)
            routes.onReceived(peer.senderHash, time);
    };

    SECTION("once their own updates have shown that they run")
    {
        routes.setPeers(peers, {});
        CHECK(routes.receivers(now).direct.size() == peers.size());
        hearFromAll(now);
        const UpdateReceivers receivers = routes.receivers(now);
        CHECK(receivers.direct.size() == HostsPerDomain - 1);
        CHECK(receivers.forwarders.size() == 4);
        CHECK(routes.domainPeers().size() == HostsPerDomain - 1);
    }
    SECTION("through other hosts each time, so that a dead one loses few of them")
    {
        routes.setPeers(peers, {});
        hearFromAll(now);
        std::set<Endpoint> used;
        for (int batch = 0; batch < 200; ++batch) {
            const UpdateReceivers receivers = routes.receivers(now);
            used.insert(receivers.forwarders.begin(), receivers.forwarders.end());
            CHECK(std::set<Endpoint>(receivers.forwarders.begin(), receivers.forwarders.end())
                          .size()
                  == 4);
        }
        CHECK(used.size() == 2 * HostsPerDomain);
    }
    SECTION("not through hosts that have been quiet, dead ones for instance")
    {
        routes.setPeers(peers, {});
        hearFromAll(now - seconds(2));
        for (const std::uint32_t sender : {30U, 31U, 60U})
            routes.onReceived(sender, now);
        const UpdateReceivers receivers = routes.receivers(now);
        // One host of the domain c is not enough.
        CHECK(receivers.direct.size() == 2 * HostsPerDomain - 1);
        CHECK(receivers.forwarders.size() == 2);
    }
    SECTION("while hosts of an earlier version, and hosts that join, get them directly")
    {
        peers[40].forwardsUpdates = false;
        routes.setPeers(peers, {endpointOf(200), endpointOf(1)});
        hearFromAll(now);
        const UpdateReceivers receivers = routes.receivers(now);
        CHECK(receivers.direct.size() == HostsPerDomain - 1 + 2);
        CHECK(std::count(receivers.direct.begin(), receivers.direct.end(), endpointOf(200)) == 1);
    }
    SECTION("but in small fleets they go to every host directly")
    {
        peers.resize(2);
        peers[0].failureDomain = "b";
        peers[1].failureDomain = "c";
        routes.setPeers(peers, {});
        hearFromAll(now);
        CHECK(routes.receivers(now).forwarders.empty());
        CHECK(routes.receivers(now).direct.size() == 2);
    }
}
