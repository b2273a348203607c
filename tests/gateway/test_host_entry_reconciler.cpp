#include "gateway/host_entry_reconciler.h"

#include <catch2/catch.hpp>

using namespace dotterel;
using std::chrono::seconds;

namespace {

HostListEntry listed(const std::string &name, const std::string &domain)
{
    HostListEntry host;
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
          "[Gateway][HostEntryReconciler]")
{
    HostEntryReconciler reconciler({"a-1", 1, "a"});
    std::vector<MemberRecord> live = {member("a-1", "a"), member("a-2", "a"), member("b-1", "b")};
    std::vector<HostListEntry> entries = {listed("a-1", "a"), listed("a-2", "a"),
                                          listed("b-1", "b"), listed("a-old", "a")};
    TimePoint now{seconds(100)};
    const auto reconcileNow = [&] { return reconciler.reconcile(entries, live, now); };
    CHECK(reconcileNow().stale.empty());

    SECTION("the entry of a host that is gone for 60 s is stale")
    {
        now += seconds(59);
        CHECK(reconcileNow().stale.empty());
        now += seconds(1);
        CHECK(reconcileNow().stale == std::vector<HostId>{"a-old"});
        SECTION("unless the host is live again, which restarts the timeout")
        {
            live.push_back(member("a-old", "a"));
            CHECK(reconcileNow().stale.empty());
            live.pop_back();
            now += seconds(30);
            CHECK(reconcileNow().stale.empty());
        }
    }
    SECTION("a host that sees only half of the listed hosts reports no stale entries")
    {
        live = {member("a-1", "a"), member("a-2", "a")};
        now += seconds(300);
        CHECK(reconcileNow().stale.empty());
        now += seconds(300);
        CHECK(reconcileNow().stale.empty());
    }
    SECTION("a host handles its own failure domain and those without live members")
    {
        entries.push_back(listed("b-old", "b"));
        reconcileNow();
        now += seconds(60);
        CHECK(reconcileNow().stale == std::vector<HostId>{"a-old"});
        entries.pop_back();
        entries.push_back(listed("c-old", "c"));
        entries.push_back(listed("d-1", "d"));
        live.push_back(member("d-1", "d"));
        reconcileNow();
        now += seconds(60);
        CHECK(reconcileNow().stale == std::vector<HostId>{"a-old", "c-old"});
    }
    SECTION("the entry of a live host is not restored after one list without it")
    {
        entries.erase(entries.begin() + 1);
        CHECK(reconcileNow().missing.empty());
        SECTION("but after a second consecutive list without it")
        {
            const HostEntryChanges changes = reconcileNow();
            REQUIRE(changes.missing.size() == 1);
            CHECK(changes.missing[0].identity.host == "a-2");
        }
        SECTION("and never for a leaving host or one in another failure domain")
        {
            live[1].leaving = true;
            entries.erase(entries.begin() + 1);
            CHECK(reconcileNow().missing.empty());
            CHECK(reconcileNow().missing.empty());
        }
    }
}
