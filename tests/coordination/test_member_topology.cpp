#include "coordination/member_topology.h"

#include "coordination/member_backoff.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

using namespace dotterel;

namespace {

std::vector<MemberRecord> membersOf(std::size_t hosts, std::size_t domains)
{
    std::vector<MemberRecord> members(hosts);
    for (std::size_t i = 0; i < hosts; ++i)
        members[i].identity = {"entry-" + std::to_string(i), 1,
                               std::string(1, static_cast<char>('a' + i % domains))};
    return members;
}

using Graph = std::map<HostId, std::set<HostId>>;

Graph graphOf(const std::vector<MemberRecord> &members)
{
    Graph graph;
    for (const MemberRecord &member : members) {
        graph[member.identity.host];
        for (const MemberRecord &target : chooseLinks(member.identity, members)) {
            graph[member.identity.host].insert(target.identity.host);
            graph[target.identity.host].insert(member.identity.host);
        }
    }
    return graph;
}

/// Returns how many of \a members can be reached from the first without passing others.
std::size_t reached(const Graph &graph, const std::vector<MemberRecord> &members)
{
    std::set<HostId> allowed;
    for (const MemberRecord &member : members)
        allowed.insert(member.identity.host);
    std::vector<HostId> open = {members.front().identity.host};
    std::set<HostId> seen(open.begin(), open.end());
    while (!open.empty()) {
        const HostId host = open.back();
        open.pop_back();
        for (const HostId &next : graph.at(host)) {
            if (allowed.count(next) > 0 && seen.insert(next).second)
                open.push_back(next);
        }
    }
    return seen.size();
}

} // namespace

TEST_CASE("Links join all members with a bounded number each", "[Coordination][MemberTopology]")
{
    const std::size_t hosts = GENERATE(1, 2, 3, 9, 30, 60, 330);
    const std::size_t domains = GENERATE(1, 3, 5);
    INFO(hosts << " hosts in " << domains << " failure domains");
    const std::vector<MemberRecord> members = membersOf(hosts, domains);
    const Graph graph = graphOf(members);
    CHECK(reached(graph, members) == hosts);
    for (const MemberRecord &member : members)
        CHECK(chooseLinks(member.identity, members).size() <= OutgoingLinks);

    SECTION("and few members are all linked to each other")
    {
        if (hosts <= 2 * OutgoingLinks + 1) {
            for (const auto &[host, linked] : graph)
                CHECK(linked.size() == hosts - 1);
        }
    }
    SECTION("also within each failure domain and without it")
    {
        for (std::size_t domain = 0; domain < std::min(domains, hosts); ++domain) {
            std::vector<MemberRecord> inside;
            std::vector<MemberRecord> outside;
            for (std::size_t i = 0; i < hosts; ++i)
                (i % domains == domain ? inside : outside).push_back(members[i]);
            CHECK(reached(graph, inside) == inside.size());
            if (!outside.empty() && hosts != domains)
                CHECK(reached(graph, outside) == outside.size());
        }
    }
    SECTION("and one member less moves few of the others' links")
    {
        std::vector<MemberRecord> fewer = members;
        fewer.pop_back();
        std::size_t moved = 0;
        for (const MemberRecord &member : fewer) {
            std::set<HostId> before;
            for (const MemberRecord &target : chooseLinks(member.identity, members))
                before.insert(target.identity.host);
            for (const MemberRecord &target : chooseLinks(member.identity, fewer))
                moved += before.count(target.identity.host) == 0 ? 1 : 0;
        }
        CHECK(moved <= 24);
    }
    SECTION("and a duty falls to as many members of each domain as asked")
    {
        std::map<std::string, int> dutiful;
        for (const MemberRecord &member : members)
            dutiful[member.identity.failureDomain] +=
                    hasDuty(member.identity, members, "host-list", 2) ? 1 : 0;
        for (const auto &[domain, count] : dutiful)
            CHECK(count <= 2);
        CHECK(dutiful.begin()->second >= 1);
    }
}

TEST_CASE("A failed peer is tried again ever more rarely", "[Coordination][MemberBackoff]")
{
    SeededRandom random(3);
    MemberBackoff backoff(random);
    TimePoint now{};
    Duration last = Duration::zero();
    std::set<std::int64_t> waits;
    for (int failure = 0; failure < 12; ++failure) {
        backoff.onFailed("a", now);
        CHECK_FALSE(backoff.mayConnect("a", now));
        CHECK(backoff.mayConnect("b", now));
        const TimePoint begin = now;
        while (!backoff.mayConnect("a", now))
            now += std::chrono::milliseconds(1);
        last = now - begin;
        CHECK(last <= std::chrono::seconds(5));
        waits.insert(last.count());
    }
    CHECK(last >= std::chrono::milliseconds(2'500));
    CHECK(waits.size() > 8);
    backoff.onWorked("a");
    backoff.onFailed("a", now);
    CHECK(backoff.mayConnect("a", now + std::chrono::milliseconds(101)));
}
