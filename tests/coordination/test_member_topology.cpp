#include "coordination/member_topology.h"

#include "coordination/member_backoff.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

using namespace dotterel;

namespace {

std::vector<MemberRecord> makeMembers(std::size_t hosts, std::size_t domains)
{
    std::vector<MemberRecord> members(hosts);
    for (std::size_t i = 0; i < hosts; ++i)
        members[i].identity = {"entry-" + std::to_string(i), 1,
                               std::string(1, static_cast<char>('a' + i % domains))};
    return members;
}

using Graph = std::map<HostId, std::set<HostId>>;

Graph makeGraph(const std::vector<MemberRecord> &members)
{
    Graph graph;
    for (const MemberRecord &member : members) {
        graph[member.identity.host];
        for (const MemberRecord &target : selectLinkTargets(member.identity, members)) {
            graph[member.identity.host].insert(target.identity.host);
            graph[target.identity.host].insert(member.identity.host);
        }
    }
    return graph;
}

/// Returns how many of \a members can be reached from the first one by links between \a members.
std::size_t countReachable(const Graph &graph, const std::vector<MemberRecord> &members)
{
    std::set<HostId> allowed;
    for (const MemberRecord &member : members)
        allowed.insert(member.identity.host);
    std::vector<HostId> toVisit = {members.front().identity.host};
    std::set<HostId> visited(toVisit.begin(), toVisit.end());
    while (!toVisit.empty()) {
        const HostId host = toVisit.back();
        toVisit.pop_back();
        for (const HostId &next : graph.at(host)) {
            if (allowed.count(next) > 0 && visited.insert(next).second)
                toVisit.push_back(next);
        }
    }
    return visited.size();
}

} // namespace

TEST_CASE("Links connect all members with a bounded number of links per member",
          "[Coordination][MemberTopology]")
{
    const std::size_t hosts = GENERATE(1, 2, 3, 9, 30, 60, 330);
    const std::size_t domains = GENERATE(1, 3, 5);
    INFO(hosts << " hosts in " << domains << " failure domains");
    const std::vector<MemberRecord> members = makeMembers(hosts, domains);
    const Graph graph = makeGraph(members);
    CHECK(countReachable(graph, members) == hosts);
    for (const MemberRecord &member : members)
        CHECK(selectLinkTargets(member.identity, members).size() <= MaxOutgoingLinks);

    SECTION("small fleets form a full mesh")
    {
        if (hosts <= 2 * MaxOutgoingLinks + 1) {
            for (const auto &[host, linked] : graph)
                CHECK(linked.size() == hosts - 1);
        }
    }
    SECTION("members stay connected within each failure domain and without it")
    {
        for (std::size_t domain = 0; domain < std::min(domains, hosts); ++domain) {
            std::vector<MemberRecord> inside;
            std::vector<MemberRecord> outside;
            for (std::size_t i = 0; i < hosts; ++i)
                (i % domains == domain ? inside : outside).push_back(members[i]);
            CHECK(countReachable(graph, inside) == inside.size());
            if (!outside.empty() && hosts != domains)
                CHECK(countReachable(graph, outside) == outside.size());
        }
    }
    SECTION("removing a member changes few links of the others")
    {
        std::vector<MemberRecord> remaining = members;
        remaining.pop_back();
        std::size_t changedLinks = 0;
        for (const MemberRecord &member : remaining) {
            std::set<HostId> oldTargets;
            for (const MemberRecord &target : selectLinkTargets(member.identity, members))
                oldTargets.insert(target.identity.host);
            for (const MemberRecord &target : selectLinkTargets(member.identity, remaining))
                changedLinks += oldTargets.count(target.identity.host) == 0 ? 1 : 0;
        }
        CHECK(changedLinks <= 24);
    }
    SECTION("a task is assigned to at most the requested number of members per failure domain")
    {
        std::map<std::string, int> assignedCounts;
        for (const MemberRecord &member : members)
            assignedCounts[member.identity.failureDomain] +=
                    isTaskAssigned(member.identity, members, "host-list", 2) ? 1 : 0;
        for (const auto &[domain, count] : assignedCounts)
            CHECK(count <= 2);
        CHECK(assignedCounts.begin()->second >= 1);
    }
}

TEST_CASE("The reconnect delay of a failed peer grows exponentially up to a limit",
          "[Coordination][MemberBackoff]")
{
    SeededRandom random(3);
    MemberBackoff backoff(random);
    TimePoint now{};
    Duration lastWait = Duration::zero();
    std::set<std::int64_t> waits;
    for (int failure = 0; failure < 12; ++failure) {
        backoff.onConnectionFailed("a", now);
        CHECK_FALSE(backoff.mayConnect("a", now));
        CHECK(backoff.mayConnect("b", now));
        const TimePoint begin = now;
        while (!backoff.mayConnect("a", now))
            now += std::chrono::milliseconds(1);
        lastWait = now - begin;
        CHECK(lastWait <= std::chrono::seconds(5));
        waits.insert(lastWait.count());
    }
    CHECK(lastWait >= std::chrono::milliseconds(2'500));
    CHECK(waits.size() > 8);
    backoff.reset("a");
    backoff.onConnectionFailed("a", now);
    CHECK(backoff.mayConnect("a", now + std::chrono::milliseconds(101)));
}
