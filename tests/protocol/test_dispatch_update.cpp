#include "protocol/peer_message.h"

#include <catch2/catch.hpp>

using namespace dotterel;

TEST_CASE("Dispatch updates survive a round trip and stay small", "[Protocol][DispatchUpdate]")
{
    // The largest supported deployment has 330 hosts that handle 1,600 requests per second. A host
    // reports each event of a dispatch in a frame of its own to the 8 peers that share the server.
    constexpr double RequestsPerSecondPerHost = 1'600.0 / 330;
    constexpr double PeersPerServer = 8;
    constexpr double FrameOverheadBytes = 8; ///< WebSocket header and mask of a short frame.
    constexpr double MaxBytesPerSecond = 4'096;

    DispatchUpdate update{0xFFFFFFFF, {}};
    update.events.push_back({DispatchEventKind::Dispatched, 1'000'000, 0xFFFFFFFF, 250'000, 400'000,
                             1'796'000'000'000, 0xFFFFFFFF});
    const std::string dispatchedBytes = encodePeerMessage(update);
    const DispatchUpdate decoded =
            std::get<DispatchUpdate>(decodePeerMessage(dispatchedBytes).value());
    REQUIRE(decoded.events.size() == 1);
    CHECK(decoded.senderHash == update.senderHash);
    CHECK(decoded.events[0].serverHash == update.events[0].serverHash);
    CHECK(decoded.events[0].contextTokens == 400'000);
    CHECK(decoded.events[0].priority == update.events[0].priority);
    CHECK(decoded.events[0].workspaceHash == 0xFFFFFFFF);

    update.events = {{DispatchEventKind::FirstToken, 1'000'000, 0, 0, 0, 0, 0}};
    const std::string firstTokenBytes = encodePeerMessage(update);
    const double bytesPerRequest =
            static_cast<double>(dispatchedBytes.size() + firstTokenBytes.size())
            + 2 * FrameOverheadBytes;
    INFO("bytes per second: " << bytesPerRequest * RequestsPerSecondPerHost * PeersPerServer);
    CHECK(bytesPerRequest * RequestsPerSecondPerHost * PeersPerServer < MaxBytesPerSecond);
    CHECK_FALSE(decodePeerMessage("\xA1\x61t\x61n"));
}
