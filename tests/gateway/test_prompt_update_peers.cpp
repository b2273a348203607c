#include "gateway/prompt_update_peers.h"

#include <catch2/catch.hpp>

using namespace dotterel;
using std::chrono::seconds;

TEST_CASE("A host that starts exchanges prompt updates before membership knows its peers",
          "[Gateway][PromptUpdatePeers]")
{
    const Endpoint own{"10.0.0.1", 7'000};
    const Endpoint other{"10.0.0.2", 7'000};
    const Endpoint third{"10.0.0.3", 7'000};
    const TimePoint start{seconds(100)};
    PromptUpdatePeers peers(own, start);
    CHECK(peers.endpoints(start).empty());
    CHECK_FALSE(peers.takeAnnouncement(start));

    peers.setListed({own, other});
    CHECK(peers.endpoints(start) == std::vector<Endpoint>{other});

    SECTION("it announces itself twice, in case a datagram is lost")
    {
        CHECK(peers.takeAnnouncement(start));
        CHECK(peers.takeAnnouncement(start + seconds(1)));
        CHECK_FALSE(peers.takeAnnouncement(start + seconds(1)));
    }
    SECTION("later only the live members count, since the list may be stale")
    {
        peers.setLive({third});
        CHECK(peers.endpoints(start + seconds(1)).size() == 2);
        CHECK(peers.endpoints(start + seconds(10)) == std::vector<Endpoint>{third});
        CHECK_FALSE(peers.takeAnnouncement(start + seconds(10)));
    }
    SECTION("a running host sends updates to one that announced itself until membership knows it")
    {
        const TimePoint later = start + seconds(60);
        peers.setLive({other});
        peers.onJoined(third, later);
        CHECK(peers.endpoints(later).size() == 2);
        CHECK(peers.endpoints(later + seconds(10)) == std::vector<Endpoint>{other});
    }
}
