#include "protocol/peer_message.h"

#include <catch2/catch.hpp>

using namespace dotterel;

TEST_CASE("Dispatch updates survive a round trip and stay small", "[Protocol][DispatchNews]")
{
    // The largest supported deployment has 330 hosts that handle 1,600 requests per second. A host
    // reports each event of a dispatch in a frame of its own to the 8 peers that share the server.
    constexpr double RequestsPerHost = 1'600.0 / 330;
    constexpr double Peers = 8;
    constexpr double FrameBytes = 8; ///< WebSocket header and mask of a short frame.
    constexpr double MostBytesPerSecond = 4'096;

    DispatchNews news{0xFFFFFFFF, {}};
    news.events.push_back({DispatchEventKind::Dispatched, 1'000'000, 0xFFFFFFFF, 250'000, 400'000,
                           1'796'000'000'000, 0xFFFFFFFF});
    const std::string dispatched = encodePeerMessage(news);
    const DispatchNews read = std::get<DispatchNews>(decodePeerMessage(dispatched).value());
    REQUIRE(read.events.size() == 1);
    CHECK(read.sender == news.sender);
    CHECK(read.events[0].server == news.events[0].server);
    CHECK(read.events[0].contextTokens == 400'000);
    CHECK(read.events[0].priority == news.events[0].priority);
    CHECK(read.events[0].workspace == 0xFFFFFFFF);

    news.events = {{DispatchEventKind::FirstToken, 1'000'000, 0, 0, 0, 0, 0}};
    const std::string firstToken = encodePeerMessage(news);
    const double bytes =
            static_cast<double>(dispatched.size() + firstToken.size()) + 2 * FrameBytes;
    INFO("bytes per second: " << bytes * RequestsPerHost * Peers);
    CHECK(bytes * RequestsPerHost * Peers < MostBytesPerSecond);
    CHECK_FALSE(decodePeerMessage("\xA1\x61t\x61n"));
}
