#include "protocol/peer_message.h"

#include "core/random_source.h"
#include "gateway/prompt_updates.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace dotterel;

namespace {

constexpr std::uint64_t FuzzSeed = 41;
constexpr int FuzzRounds = 20'000;

MemberRecord memberRecord(const HostId &host)
{
    return {{host, 77, "centro-a"}, {"10.0.0.1", 4'000}, 3, MemberState::Suspected, true, 12};
}

std::vector<PeerMessage> sampleMessages()
{
    return {Heartbeat{memberRecord("a"),
                      99,
                      {memberRecord("b"), memberRecord("c")},
                      {{"engine-1", 4, true, false}}},
            MemberDigest{{1, 2, 3}},
            MemberUpdate{{memberRecord("d")}, {{"engine-2", 1, false, false}}, {7}},
            ConfigurationRequest{5}, ConfigurationOffer{6, "{}"}};
}

} // namespace

TEST_CASE("Peer messages survive an encode and decode round trip", "[Protocol][PeerMessage]")
{
    for (const PeerMessage &message : sampleMessages()) {
        const std::string bytes = encodePeerMessage(message);
        const tl::expected<PeerMessage, std::string> decoded = decodePeerMessage(bytes);
        REQUIRE(decoded);
        CHECK(decoded->index() == message.index());
        CHECK(encodePeerMessage(*decoded) == bytes);
    }
}

TEST_CASE("Malformed peer messages are rejected with an error", "[Protocol][PeerMessage]")
{
    SECTION("arrays or maps nested throughout a whole frame")
    {
        CHECK_FALSE(decodePeerMessage(std::string(65'536, '\x81')));
        std::string nestedMaps;
        for (int i = 0; i < 20'000; ++i)
            nestedMaps += "\xa1\x61t";
        CHECK_FALSE(decodePeerMessage(nestedMaps));
    }
    SECTION("names that are empty or contain spaces or unprintable bytes")
    {
        for (const char *name : {"", "two words", "\xff\xfe", "line\nbreak"})
            CHECK_FALSE(
                    decodePeerMessage(encodePeerMessage(Heartbeat{memberRecord(name), 1, {}, {}})));
    }
    SECTION("truncation at every length and random corruption")
    {
        SeededRandom random(FuzzSeed);
        for (const PeerMessage &message : sampleMessages()) {
            const std::string bytes = encodePeerMessage(message);
            for (std::size_t length = 0; length < bytes.size(); ++length)
                CHECK_FALSE(decodePeerMessage(std::string_view(bytes).substr(0, length)));
        }
        for (int round = 0; round < FuzzRounds; ++round) {
            std::string bytes = encodePeerMessage(sampleMessages()[random.nextBelow(5)]);
            for (std::uint64_t i = 1 + random.nextBelow(4); i > 0; --i)
                bytes[random.nextBelow(bytes.size())] = static_cast<char>(random.next());
            const tl::expected<PeerMessage, std::string> decoded = decodePeerMessage(bytes);
            // A receiver forwards what it accepted, so that has to encode to a valid frame again.
            if (decoded)
                CHECK(decodePeerMessage(encodePeerMessage(*decoded)));
        }
    }
}

// Guards against one datagram or frame that takes the whole stack.
TEST_CASE("Strings of indefinite length within each other ended the process",
          "[Protocol][PeerMessage]")
{
    const std::string opening = GENERATE(as<std::string>{}, "\x5f", "\x7f");
    const std::string before = GENERATE(as<std::string>{}, "", "\xa1\x61t", "\x82\x19\x01\x02");
    std::string bytes = before;
    for (int level = 0; level < 500'000; ++level)
        bytes += opening;
    CHECK_FALSE(decodePeerMessage(bytes));
    CHECK_FALSE(decodePromptUpdates(bytes));
}

TEST_CASE("Announced and offered objects carry their era and version", "[Protocol][PeerMessage]")
{
    SECTION("through both directions")
    {
        const ObjectAnnouncement sent{1, {{"s1", 5, false, 2, 7}}};
        const auto received = decodePeerMessage(encodePeerMessage(sent));
        REQUIRE(received);
        const AnnouncedObject &object = std::get<ObjectAnnouncement>(*received).objects.at(0);
        CHECK(object.era == 2);
        CHECK(object.version == 7);
        const ObjectOffer offer{1, {{"s1", 5, false, "text", 2, 7}}};
        const auto receivedOffer = decodePeerMessage(encodePeerMessage(offer));
        REQUIRE(receivedOffer);
        CHECK(std::get<ObjectOffer>(*receivedOffer).objects.at(0).era == 2);
        CHECK(std::get<ObjectOffer>(*receivedOffer).objects.at(0).version == 7);
    }
    SECTION("and are understood from hosts of earlier versions, which send neither")
    {
        const auto encoded =
                nlohmann::json::to_cbor({{"t", "a"}, {"k", 1}, {"o", {{"s1", 5, false}}}});
        const auto received = decodePeerMessage(std::string(encoded.begin(), encoded.end()));
        REQUIRE(received);
        CHECK(std::get<ObjectAnnouncement>(*received).objects.at(0).era == 0);
    }
    SECTION("and are rejected if they are not numbers")
    {
        const auto encoded = nlohmann::json::to_cbor(
                {{"t", "a"}, {"k", 1}, {"o", {{"s1", 5, false, "two", 7}}}});
        CHECK_FALSE(decodePeerMessage(std::string(encoded.begin(), encoded.end())));
    }
}
