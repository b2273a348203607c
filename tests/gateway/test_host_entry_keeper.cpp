#include "gateway/host_entry_keeper.h"

#include <catch2/catch.hpp>

using namespace dotterel;
using std::chrono::seconds;

namespace {

ListedHost listed(const std::string &name, const std::string &domain)
{
    ListedHost host;
    host.id = name;
    host.failureDomain = domain;
    return host;
}

MemberRecord member(const std::string &name, const std::string &domain)
{
    MemberRecord record;
    record.identity = {name, 1, domain};
    return record;
}

} // namespace

TEST_CASE("The list of entry hosts is reconciled with the live members",
          "[Gateway][HostEntryKeeper]")
{
    HostEntryKeeper keeper({"a-1", 1, "a"});
    std::vector<MemberRecord> live = {member("a-1", "a"), member("a-2", "a"), member("b-1", "b")};
    std::vector<ListedHost> list = {listed("a-1", "a"), listed("a-2", "a"), listed("b-1", "b"),
                                    listed("a-old", "a")};
    TimePoint now{seconds(100)};
    const auto read = [&] { return keeper.onListed(list, live, now); };
    CHECK(read().stale.empty());

    SECTION("the entry of a host that is gone for 60 s is stale")
    {
        now += seconds(59);
        CHECK(read().stale.empty());
        now += seconds(1);
        CHECK(read().stale == std::vector<HostId>{"a-old"});
        SECTION("unless the host is live again, which restarts the timeout")
        {
            live.push_back(member("a-old", "a"));
            CHECK(read().stale.empty());
            live.pop_back();
            now += seconds(30);
            CHECK(read().stale.empty());
        }
    }
    SECTION("a host that sees only half of the listed hosts reports no stale entries")
    {
        live = {member("a-1", "a"), member("a-2", "a")};
        now += seconds(300);
        CHECK(read().stale.empty());
        now += seconds(300);
        CHECK(read().stale.empty());
    }
    SECTION("a host handles its own failure domain and those without live members")
    {
        list.push_back(listed("b-old", "b"));
        read();
        now += seconds(60);
        CHECK(read().stale == std::vector<HostId>{"a-old"});
        list.pop_back();
        list.push_back(listed("c-old", "c"));
        list.push_back(listed("d-1", "d"));
        live.push_back(member("d-1", "d"));
        read();
        now += seconds(60);
        CHECK(read().stale == std::vector<HostId>{"a-old", "c-old"});
    }
    SECTION("the entry of a live host is not restored after one list without it")
    {
        list.erase(list.begin() + 1);
        CHECK(read().missing.empty());
        SECTION("but when a second list lacks it too")
        {
            const HostEntryChanges changes = read();
            REQUIRE(changes.missing.size() == 1);
            CHECK(changes.missing[0].identity.host == "a-2");
        }
        SECTION("and never for a leaving host or one in another failure domain")
        {
            live[1].leaving = true;
            list.erase(list.begin() + 1);
            CHECK(read().missing.empty());
            CHECK(read().missing.empty());
        }
    }
}
