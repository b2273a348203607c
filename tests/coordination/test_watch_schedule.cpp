#include "coordination/watch_schedule.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

using namespace dotterel;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("The watches of all hosts end one after the other", "[WatchSchedule]")
{
    const std::size_t hostCount = GENERATE(std::size_t{1}, std::size_t{3}, std::size_t{9});
    std::vector<WatchSchedule> hosts(hostCount, WatchSchedule(seconds(2), {}));
    std::vector<Duration> ends;
    for (std::size_t index = 0; index < hostCount; ++index) {
        hosts[index].setTurn({index, hostCount});
        ends.push_back(hosts[index].nextWait(false));
    }
    SECTION("after a change that all hosts see, at equal intervals")
    {
        for (std::size_t index = 1; index < hostCount; ++index)
            CHECK(ends[index] - ends[index - 1] == ends[0]);
        CHECK(ends[0] <= seconds(2));
    }
    SECTION("also if the hosts begin to watch at different times after an outage")
    {
        std::vector<Duration> ends(hostCount);
        for (std::size_t index = 0; index < hostCount; ++index) {
            const Duration began = milliseconds(1'700 + 300 * (index % 4));
            ends[index] = began + hosts[index].nextWait(false, began);
        }
        std::sort(ends.begin(), ends.end());
        for (std::size_t index = 1; index < hostCount; ++index)
            CHECK(ends[index] - ends[index - 1] == seconds(2));
    }
    SECTION("and in the same order again if nothing changes")
    {
        for (std::size_t index = 0; index < hostCount; ++index)
            CHECK(hosts[index].nextWait(true) == ends[0] * static_cast<int>(hostCount));
    }
    SECTION("a host whose turn changed takes its new place at its next watch")
    {
        hosts[0].setTurn({1, hostCount + 1});
        CHECK(hosts[0].nextWait(true) == ends[0] * 2);
        CHECK(hosts[0].nextWait(true) == ends[0] * static_cast<int>(hostCount + 1));
    }
    SECTION("no wait is longer than the store grants")
    {
        hosts[0].setTurn({500, 1'000});
        CHECK(hosts[0].nextWait(false) == seconds(30));
        CHECK(hosts[0].nextWait(true) == seconds(30));
    }
}

// Guards against a silent store that nobody notices while the hosts whose turns come first are cut
// off.
TEST_CASE("The first turns belonged to one failure domain", "[WatchSchedule]")
{
    std::vector<MemberRecord> members;
    for (const char *domain : {"a", "b", "c"}) {
        for (int number = 1; number <= 4; ++number) {
            MemberRecord member;
            member.identity = {std::string(domain) + std::to_string(number), 1, domain};
            members.push_back(member);
        }
    }
    const std::string cutOff = GENERATE(as<std::string>(), "a", "b", "c");
    std::vector<std::size_t> turns;
    for (const MemberRecord &member : members) {
        const WatchTurn turn = turnAmong(member.identity, members);
        CHECK(turn.count == members.size());
        if (member.identity.failureDomain != cutOff)
            turns.push_back(turn.index);
    }
    std::sort(turns.begin(), turns.end());
    REQUIRE(turns.size() == 8);
    CHECK(turns.front() <= 1);
    for (std::size_t index = 1; index < turns.size(); ++index) {
        CHECK(turns[index] > turns[index - 1]);
        CHECK(turns[index] - turns[index - 1] <= 2);
    }
}
