#include "gateway/collection_follower.h"
#include "gateway/collection_replica.h"

#include <catch2/catch.hpp>

using namespace dotterel;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

CollectionObject object(const std::string &name, std::uint64_t revision)
{
    return {name, revision, false, name + "@" + std::to_string(revision)};
}

} // namespace

TEST_CASE("A store that was restored from a copy replaces what it returned before",
          "[Gateway][CollectionReplica]")
{
    const auto inEra = [](const std::string &name, std::uint64_t revision, std::uint64_t era) {
        CollectionObject result = object(name, revision);
        result.era = era;
        return result;
    };
    CollectionReplica objects(Collection::Servers);
    objects.onListed({{inEra("a", 80, 1), inEra("b", 90, 1)}, 95, 1});
    CHECK(objects.era() == 1);

    SECTION("its objects win with lower revisions, and what it lacks is removed")
    {
        const auto changes = objects.onListed({{inEra("a", 40, 2)}, 50, 2});
        REQUIRE(changes.size() == 2);
        CHECK(changes[0].name == "a");
        CHECK(changes[1].name == "b");
        CHECK(changes[1].removed);
        CHECK(objects.era() == 2);
        SECTION("peers that are still in the earlier era change nothing")
        {
            CHECK(objects.onChanged({inEra("b", 90, 1)}).empty());
            CHECK(objects.onChanged({object("b", 400)}).empty());
        }
        SECTION("an entry that is written again returns")
        {
            CHECK(objects.onChanged({inEra("b", 51, 2)}).size() == 1);
        }
    }
    SECTION("a host without a connection to the store learns it from a peer")
    {
        const ObjectAnnouncement announcement{1, {{"a", 40, false, 2}, {"b", 50, true, 2}}};
        const TimePoint now{seconds(100)};
        const auto removals = objects.onAnnounced(1, announcement, now, PeerLocality::SameDomain);
        REQUIRE(removals.size() == 1);
        CHECK(removals[0].name == "b");
        CHECK(objects.takeDueRequests(now + seconds(1)).at(0).second.names
              == std::vector<std::string>{"a"});
    }
    SECTION("an outdated object is reported once until its object changes")
    {
        CHECK(objects.reportOutdated(inEra("a", 40, 1)));
        CHECK_FALSE(objects.reportOutdated(inEra("a", 40, 1)));
        objects.onChanged({inEra("a", 96, 1)});
        CHECK(objects.reportOutdated(inEra("a", 40, 1)));
    }
}

TEST_CASE("A versioned object never goes back to an older version", "[Gateway][CollectionReplica]")
{
    const auto versioned = [](std::uint64_t version, std::uint64_t revision, std::uint64_t era) {
        return CollectionObject{"main", revision, false, "text", era, version};
    };
    CollectionReplica objects(Collection::Configuration);
    objects.onListed({{versioned(7, 80, 1)}, 80, 1});

    SECTION("not when the restored store has an older one, or none")
    {
        CHECK(objects.onListed({{versioned(5, 40, 2)}, 50, 2}).empty());
        CHECK(objects.onListed({{}, 50, 2}).empty());
        CHECK(objects.onChanged({versioned(8, 51, 2)}).size() == 1);
    }
    SECTION("and a peer that has a newer one of the earlier era is asked for it")
    {
        CollectionReplica startedInGap(Collection::Configuration);
        startedInGap.onListed({{versioned(5, 40, 2)}, 50, 2});
        const TimePoint now{seconds(100)};
        startedInGap.onAnnounced(1, objects.fullAnnouncement(), now, PeerLocality::SameDomain);
        REQUIRE(startedInGap.takeDueRequests(now + seconds(1)).size() == 1);
        CHECK(startedInGap.onChanged({versioned(7, 80, 1)}).size() == 1);
    }
}

TEST_CASE("The highest revision of an object wins, whatever its source",
          "[Gateway][CollectionReplica]")
{
    CollectionReplica objects(Collection::Servers);
    const TimePoint now{seconds(100)};
    REQUIRE(objects.onListed({{object("a", 3), object("b", 5)}, 7}).size() == 2);

    SECTION("an older revision changes nothing")
    {
        CHECK(objects.onChanged({object("a", 2)}).empty());
        CHECK(objects.onListed({{object("a", 3), object("b", 5)}, 7}).empty());
    }
    SECTION("an object missing from a later list is removed")
    {
        const auto changes = objects.onListed({{object("a", 3)}, 9});
        REQUIRE(changes.size() == 1);
        CHECK(changes[0].name == "b");
        CHECK(changes[0].removed);
    }
    SECTION("a change from a peer is not undone by an older list")
    {
        objects.onChanged({object("c", 12)});
        CHECK(objects.onListed({{object("a", 3), object("b", 5)}, 9}).empty());
    }
    SECTION("an object written again at the revision of its removal is a change")
    {
        CHECK(objects.onChanged({{"a", 4, true, ""}}).size() == 1);
        CHECK(objects.onChanged({object("a", 4)}).size() == 1);
    }
    SECTION("an announced removal is applied immediately, a newer object is requested")
    {
        ObjectAnnouncement announcement;
        announcement.objects = {{"a", 8, true}, {"b", 9, false}, {"c", 1, false}};
        const auto changes = objects.onAnnounced(1, announcement, now, PeerLocality::SameDomain);
        REQUIRE(changes.size() == 1);
        CHECK(changes[0].name == "a");
        CHECK(objects.takeDueRequests(now).empty());
        const auto requests = objects.takeDueRequests(now + milliseconds(250));
        REQUIRE(requests.size() == 1);
        CHECK(requests[0].first == 1);
        CHECK(requests[0].second.names == std::vector<std::string>{"b", "c"});
        SECTION("and not requested again immediately, nor after it has arrived")
        {
            CHECK(objects.takeDueRequests(now + milliseconds(300)).empty());
            objects.onChanged({object("b", 9), object("c", 1)});
            CHECK_FALSE(objects.nextRequestDue());
        }
    }
    SECTION("a peer in the same failure domain is asked before others")
    {
        objects.setRequestDelay(Duration::zero());
        const ObjectAnnouncement newer{0, {{"b", 9, false}}};
        objects.onAnnounced(1, newer, now, PeerLocality::OtherDomain);
        CHECK(objects.takeDueRequests(now).empty());
        SECTION("as soon as it announces the object")
        {
            objects.onAnnounced(2, newer, now + milliseconds(20), PeerLocality::SameDomain);
            objects.onAnnounced(3, newer, now + milliseconds(21), PeerLocality::OtherDomain);
            const auto requests = objects.takeDueRequests(now + milliseconds(21));
            REQUIRE(requests.size() == 1);
            CHECK(requests[0].first == 2);
            SECTION("and the other peer is asked if it does not respond")
            {
                const auto repeatedRequests = objects.takeDueRequests(now + seconds(2));
                REQUIRE(repeatedRequests.size() == 1);
                CHECK(repeatedRequests[0].first == 3);
            }
        }
        SECTION("but the other peer is asked if none in the same failure domain announces the "
                "object")
        {
            const auto requests = objects.takeDueRequests(now + milliseconds(150));
            REQUIRE(requests.size() == 1);
            CHECK(requests[0].first == 1);
        }
    }
    SECTION("a host sends the objects that a peer requests")
    {
        CollectionReplica requester(Collection::Servers);
        requester.setRequestDelay(Duration::zero());
        requester.onAnnounced(4, objects.fullAnnouncement(), now, PeerLocality::SameDomain);
        const auto requests = requester.takeDueRequests(now);
        REQUIRE(requests.size() == 1);
        const ObjectOffer offer = objects.offerFor(requests[0].second);
        REQUIRE(offer.objects.size() == 2);
        CHECK(offer.objects[0].text == "a@3");
    }
}

TEST_CASE("A collection stays up to date across failures of the store",
          "[Gateway][CollectionFollower]")
{
    NullEventLog log;
    SeededRandom random(5);
    CollectionFollower follower(Collection::Configuration, random, log);
    TimePoint now{seconds(100)};
    CHECK(follower.nextRequest().kind == CollectionRequest::Kind::List);
    follower.onListed(40, now);
    CHECK(follower.nextRequest().kind == CollectionRequest::Kind::Watch);
    CHECK(follower.nextRequest().revision == 40);

    SECTION("the next watch starts at the revision of the last response")
    {
        follower.onWatched(44, now);
        CHECK(follower.nextRequest().revision == 44);
        CHECK(follower.nextRequest().delay == Duration::zero());
    }
    SECTION("servers that start together are received in few requests")
    {
        CollectionFollower serverFollower(Collection::Servers, random, log);
        serverFollower.onListed(40, now);
        CHECK(serverFollower.nextRequest().delay == Duration::zero());
        std::size_t requestCount = 0;
        std::uint64_t revision = 40;
        // 60 servers register within one second; nothing changes in the next one.
        for (TimePoint at = now; at < now + seconds(2);) {
            const auto registered =
                    std::min<std::uint64_t>(60, (at - now) * 60 / Duration(seconds(1)));
            if (40 + registered > revision) {
                revision = 40 + registered;
                serverFollower.onWatched(revision, at);
                ++requestCount;
            }
            CHECK(serverFollower.nextRequest().delay <= milliseconds(600));
            at += serverFollower.nextRequest().delay + milliseconds(5);
        }
        CHECK(revision == 100);
        CHECK(requestCount <= 5);
        SECTION("and a watch that got no response is repeated without delay")
        {
            serverFollower.onFailed(StoreError::NoResponse, now + seconds(2));
            CHECK(serverFollower.nextRequest().kind == CollectionRequest::Kind::Watch);
            CHECK(serverFollower.nextRequest().delay == Duration::zero());
        }
        SECTION("and the next change after a period without changes is received without delay")
        {
            serverFollower.onWatched(revision, now + seconds(22));
            CHECK(serverFollower.nextRequest().delay == Duration::zero());
        }
    }
    SECTION("it lists again without delay when the history is lost, and entries may have expired")
    {
        follower.onFailed(StoreError::NotFound, now);
        CHECK(follower.nextRequest().kind == CollectionRequest::Kind::List);
        CHECK(follower.nextRequest().delay == Duration::zero());
        CHECK(follower.reconnectedWithin(seconds(2), now));
    }
    SECTION("it backs off by at most 800 ms, so that a new configuration is in force in time")
    {
        for (int failure = 0; failure < 20; ++failure) {
            follower.onFailed(StoreError::Unavailable, now);
            CHECK(follower.nextRequest().delay >= milliseconds(50));
            CHECK(follower.nextRequest().delay <= milliseconds(800));
        }
        CHECK(follower.isStoreUnreachable());
        follower.onWatched(41, now);
        CHECK_FALSE(follower.isStoreUnreachable());
        CHECK(follower.reconnectedWithin(seconds(2), now + seconds(1)));
        CHECK_FALSE(follower.reconnectedWithin(seconds(2), now + seconds(3)));
    }
}
