#include "protocol/peer_message.h"

#include "core/random_source.h"

#include <catch2/catch.hpp>

using namespace dotterel;

namespace {

constexpr std::uint64_t FuzzSeed = 41;
constexpr int FuzzRounds = 20'000;

MemberRecord record(const HostId &host)
{
    return {{host, 77, "centro-a"}, {"10.0.0.1", 4'000}, 3, MemberState::Suspected, true, 12};
}

std::vector<PeerMessage> messages()
{
    return {Heartbeat{record("a"), 99, {record("b"), record("c")}, {{"engine-1", 4, true, false}}},
            MemberDigest{{1, 2, 3}},
            MemberUpdate{{record("d")}, {{"engine-2", 1, false, false}}, {7}},
            ConfigurationRequest{5}, ConfigurationOffer{6, "{}"}};
}

} // namespace

TEST_CASE("Peer messages are read as they were written", "[Protocol][PeerMessage]")
{
    for (const PeerMessage &message : messages()) {
        const std::string bytes = encodePeerMessage(message);
        const tl::expected<PeerMessage, std::string> read = decodePeerMessage(bytes);
        REQUIRE(read);
        CHECK(read->index() == message.index());
        CHECK(encodePeerMessage(*read) == bytes);
    }
}

TEST_CASE("Bytes that are no peer message give an error", "[Protocol][PeerMessage]")
{
    SECTION("when a frame nests arrays or maps to its limit")
    {
        CHECK_FALSE(decodePeerMessage(std::string(65'536, '\x81')));
        std::string maps;
        for (int i = 0; i < 20'000; ++i)
            maps += "\xa1\x61t";
        CHECK_FALSE(decodePeerMessage(maps));
    }
    SECTION("when a name could not be shown on a page")
    {
        for (const char *name : {"", "two words", "\xff\xfe", "line\nbreak"})
            CHECK_FALSE(decodePeerMessage(encodePeerMessage(Heartbeat{record(name), 1, {}, {}})));
    }
    SECTION("when each byte is cut off, and when bytes are changed at random")
    {
        SeededRandom random(FuzzSeed);
        for (const PeerMessage &message : messages()) {
            const std::string bytes = encodePeerMessage(message);
            for (std::size_t length = 0; length < bytes.size(); ++length)
                CHECK_FALSE(decodePeerMessage(std::string_view(bytes).substr(0, length)));
        }
        for (int round = 0; round < FuzzRounds; ++round) {
            std::string bytes = encodePeerMessage(messages()[random.below(5)]);
            for (std::uint64_t i = 1 + random.below(4); i > 0; --i)
                bytes[random.below(bytes.size())] = static_cast<char>(random.next());
            const tl::expected<PeerMessage, std::string> read = decodePeerMessage(bytes);
            // What is accepted can be passed on.
            if (read)
                CHECK(decodePeerMessage(encodePeerMessage(*read)));
        }
    }
}
