#include "transport/websocket_link.h"

#include "core/random_source.h"
#include "support/raw_connection.h"

#include <catch2/catch.hpp>
#include <optional>

using namespace dotterel;
using support::RawConnection;

namespace {

constexpr std::uint64_t FuzzSeed = 20'261'203;
constexpr int FuzzRounds = 200;
constexpr unsigned char BinaryFrame = 0x82;

class Recorder : public LinkObserver
{
public:
    void onLinkOpened() override { this->opened = true; }
    void onFrame(std::string_view bytes) override { this->frames.emplace_back(bytes); }
    void onLinkClosed(LinkEnd newEnd) override { this->end = newEnd; }

    bool opened = false;
    std::vector<std::string> frames;
    std::optional<LinkEnd> end;
};

struct Accepted
{
    std::unique_ptr<WebsocketLink> link;
    Recorder recorder;
};

LinkLimits shortLimits()
{
    LinkLimits limits;
    limits.maxFrameBytes = 4'096;
    limits.maxUnsentBytes = 64UL * 1024;
    limits.handshakeTimeout = std::chrono::milliseconds(100);
    return limits;
}

class Listening
{
public:
    Listening()
        : listener(this->loop, Endpoint{}, shortLimits(),
                   [this](std::unique_ptr<WebsocketLink> link) {
                       this->accepted.push_back(std::make_unique<Accepted>());
                       this->accepted.back()->link = std::move(link);
                       this->accepted.back()->link->setObserver(&this->accepted.back()->recorder);
                   })
    {}

    bool runUntil(const std::function<bool()> &condition)
    {
        bool expired = false;
        const EventLoop::TimerHandle limit =
                this->loop.after(std::chrono::seconds(3), [&expired] { expired = true; });
        const EventLoop::TimerHandle poll = this->loop.every(std::chrono::milliseconds(1), [] {});
        while (!expired && !condition())
            this->loop.runOnce(true);
        return condition();
    }

    Recorder &last() { return this->accepted.back()->recorder; }

    bool open(RawConnection &raw)
    {
        const std::size_t before = this->accepted.size();
        raw.write(RawConnection::upgradeRequest());
        return this->runUntil(
                [this, before] { return this->accepted.size() > before && this->last().opened; });
    }

    EventLoop loop;
    std::vector<std::unique_ptr<Accepted>> accepted;
    WebsocketListener listener;
};

struct BadBytes
{
    const char *name;
    std::string bytes;
    LinkEnd end;
};

std::vector<BadBytes> badFrames()
{
    const std::string continuation = RawConnection::frame(0x02, std::string(3'000, 'a'))
                                     + RawConnection::frame(0x80, std::string(3'000, 'a'));
    return {
            {"a frame above the limit", RawConnection::frame(BinaryFrame, std::string(5'000, 'a')),
             LinkEnd::FrameTooLarge},
            {"fragments above the limit together", continuation, LinkEnd::FrameTooLarge},
            {"a length of 2^62", std::string("\x82\xff\x40\0\0\0\0\0\0\0\0\0\0\0", 14),
             LinkEnd::FrameTooLarge},
            {"a reserved opcode", RawConnection::frame(0x83, "x"), LinkEnd::ProtocolError},
            {"a reserved bit", RawConnection::frame(0xc2, "x"), LinkEnd::ProtocolError},
            {"a client frame without a mask", std::string("\x82\x01x", 3), LinkEnd::ProtocolError},
            {"a continuation of nothing", RawConnection::frame(0x80, "x"), LinkEnd::ProtocolError},
            {"a long control frame", RawConnection::frame(0x89, std::string(200, 'x')),
             LinkEnd::ProtocolError},
            {"text in place of binary", RawConnection::frame(0x81, "x"), LinkEnd::ProtocolError},
    };
}

} // namespace

TEST_CASE("A link carries whole binary messages", "[Transport][WebsocketLink]")
{
    Listening side;
    Recorder client;
    const std::unique_ptr<WebsocketLink> link =
            connectWebsocket(side.loop, side.listener.endpoint(), shortLimits(), client);
    REQUIRE(side.runUntil(
            [&] { return client.opened && !side.accepted.empty() && side.last().opened; }));

    SECTION("both ways and in order")
    {
        link->sendFrame("one");
        link->sendFrame(std::string(4'000, 'b'));
        side.accepted.back()->link->sendFrame("two");
        REQUIRE(side.runUntil(
                [&] { return side.last().frames.size() == 2 && client.frames.size() == 1; }));
        CHECK(side.last().frames[0] == "one");
        CHECK(client.frames[0] == "two");
    }
    SECTION("and a close is heard on the other side")
    {
        link->close();
        CHECK(client.end == LinkEnd::LocalClosed);
        CHECK(side.runUntil([&] { return side.last().end == LinkEnd::PeerClosed; }));
    }
    SECTION("and a peer that does not read loses the link")
    {
        Listening other;
        RawConnection raw(other.listener.endpoint());
        REQUIRE(other.open(raw));
        const std::string payload(4'000, 'c');
        for (int i = 0; i < 10'000 && !other.last().end; ++i) {
            other.accepted.back()->link->sendFrame(payload);
            other.loop.runOnce(false);
        }
        CHECK(other.last().end == LinkEnd::PeerTooSlow);
    }
}

TEST_CASE("A link that never opens ends with its reason", "[Transport][WebsocketLink]")
{
    Listening side;

    SECTION("when nobody listens")
    {
        Endpoint nobody = side.listener.endpoint();
        {
            const Listening gone;
            nobody = gone.listener.endpoint();
        }
        Recorder client;
        const std::unique_ptr<WebsocketLink> link =
                connectWebsocket(side.loop, nobody, shortLimits(), client);
        CHECK(side.runUntil([&] { return client.end == LinkEnd::ConnectFailed; }));
    }
    SECTION("when the accepted side is silent, sends a part, or no WebSocket request")
    {
        const std::string bytes =
                GENERATE(as<std::string>{}, "",
                         "GET /peer HTTP/1.1\r\nHost:", "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
                         "\x16\x03\x01\x02", std::string(40'000, 'G'));
        RawConnection raw(side.listener.endpoint());
        raw.write(bytes);
        CHECK(side.runUntil([&] {
            return !side.accepted.empty() && side.last().end == LinkEnd::HandshakeFailed;
        }));
        CHECK(side.runUntil([&] {
            raw.read();
            return raw.closed();
        }));
    }
}

TEST_CASE("Bytes that are no message close the link and harm no other",
          "[Transport][WebsocketLink]")
{
    Listening side;
    RawConnection healthy(side.listener.endpoint());
    REQUIRE(side.open(healthy));
    Recorder &healthyRecorder = side.last();

    SECTION("for each kind of bad frame")
    {
        for (const BadBytes &bad : badFrames()) {
            INFO(bad.name);
            RawConnection raw(side.listener.endpoint());
            REQUIRE(side.open(raw));
            raw.write(bad.bytes);
            CHECK(side.runUntil([&] { return side.last().end.has_value(); }));
            CHECK(side.last().end == bad.end);
            CHECK(side.last().frames.empty());
        }
    }
    SECTION("for random bytes and random cuts of a good frame")
    {
        SeededRandom random(FuzzSeed);
        for (int round = 0; round < FuzzRounds; ++round) {
            INFO("seed " << FuzzSeed << ", round " << round);
            RawConnection raw(side.listener.endpoint());
            REQUIRE(side.open(raw));
            std::string bytes = RawConnection::frame(BinaryFrame, std::string(200, 'd'));
            bytes.resize(1 + random.nextBelow(bytes.size() - 1));
            for (std::uint64_t i = random.nextBelow(64); i > 0; --i)
                bytes.push_back(static_cast<char>(random.next()));
            raw.write(bytes);
            side.loop.runOnce(false);
        }
    }
    healthy.write(RawConnection::frame(BinaryFrame, "still here"));
    CHECK(side.runUntil([&] { return !healthyRecorder.frames.empty(); }));
    CHECK_FALSE(healthyRecorder.end);
}
