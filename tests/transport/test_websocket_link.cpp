#include "transport/websocket_link.h"

#include "core/random_source.h"
#include "support/raw_connection.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <event2/event.h>
#include <optional>

using namespace dotterel;
using support::RawConnection;

namespace {

constexpr std::uint64_t FuzzSeed = 20'261'203;
constexpr int FuzzRounds = 200;
constexpr unsigned char BinaryFrame = 0x82;

class RecordingObserver : public LinkObserver
{
public:
    void onLinkOpened() override { this->opened = true; }
    void onFrame(std::string_view data) override { this->frames.emplace_back(data); }
    void onLinkClosed(LinkCloseReason reason) override { this->closeReason = reason; }

    bool opened = false;
    std::vector<std::string> frames;
    std::optional<LinkCloseReason> closeReason;
};

struct AcceptedLink
{
    std::unique_ptr<WebsocketLink> link;
    RecordingObserver observer;
};

LinkLimits testLimits()
{
    LinkLimits limits;
    limits.maxFrameBytes = 4'096;
    limits.maxUnsentBytes = 64UL * 1024;
    limits.handshakeTimeout = std::chrono::milliseconds(100);
    return limits;
}

class ListenerFixture
{
public:
    ListenerFixture()
        : listener(this->loop, Endpoint{}, testLimits(),
                   [this](std::unique_ptr<WebsocketLink> link) {
                       this->acceptedLinks.push_back(std::make_unique<AcceptedLink>());
                       this->acceptedLinks.back()->link = std::move(link);
                       this->acceptedLinks.back()->link->setObserver(
                               &this->acceptedLinks.back()->observer);
                   })
    {}

    bool runUntil(const std::function<bool()> &condition)
    {
        bool expired = false;
        const EventLoop::TimerHandle timeoutTimer =
                this->loop.after(std::chrono::seconds(3), [&expired] { expired = true; });
        const EventLoop::TimerHandle pollTimer =
                this->loop.every(std::chrono::milliseconds(1), [] {});
        while (!expired && !condition())
            this->loop.runOnce(true);
        return condition();
    }

    RecordingObserver &lastObserver() { return this->acceptedLinks.back()->observer; }

    bool performHandshake(RawConnection &rawConnection)
    {
        const std::size_t previousCount = this->acceptedLinks.size();
        rawConnection.write(RawConnection::upgradeRequest());
        return this->runUntil([this, previousCount] {
            return this->acceptedLinks.size() > previousCount && this->lastObserver().opened;
        });
    }

    EventLoop loop;
    std::vector<std::unique_ptr<AcceptedLink>> acceptedLinks;
    WebsocketListener listener;
};

/// libevent gets no memory for a block of MinBytes or more, as long as this exists.
class NoMemoryForFrames
{
public:
    NoMemoryForFrames() { event_set_mem_functions(&allocate, &std::realloc, &std::free); }
    ~NoMemoryForFrames() { event_set_mem_functions(nullptr, nullptr, nullptr); }
    NoMemoryForFrames(const NoMemoryForFrames &) = delete;
    NoMemoryForFrames &operator=(const NoMemoryForFrames &) = delete;

private:
    static constexpr std::size_t MinBytes = 2'048;

    static void *allocate(std::size_t size)
    {
        return size < MinBytes ? std::malloc(size) : nullptr;
    }
};

struct InvalidFrame
{
    const char *name;
    std::string data;
    LinkCloseReason closeReason;
};

std::vector<InvalidFrame> invalidFrames()
{
    const std::string fragmentedMessage = RawConnection::frame(0x02, std::string(3'000, 'a'))
                                          + RawConnection::frame(0x80, std::string(3'000, 'a'));
    return {
            {"a frame over the size limit",
             RawConnection::frame(BinaryFrame, std::string(5'000, 'a')),
             LinkCloseReason::FrameTooLarge},
            {"a fragmented message over the size limit", fragmentedMessage,
             LinkCloseReason::FrameTooLarge},
            {"a length of 2^62", std::string("\x82\xff\x40\0\0\0\0\0\0\0\0\0\0\0", 14),
             LinkCloseReason::FrameTooLarge},
            {"a reserved opcode", RawConnection::frame(0x83, "x"), LinkCloseReason::ProtocolError},
            {"a reserved bit", RawConnection::frame(0xc2, "x"), LinkCloseReason::ProtocolError},
            {"an unmasked client frame", std::string("\x82\x01x", 3),
             LinkCloseReason::ProtocolError},
            {"a continuation frame without a first frame", RawConnection::frame(0x80, "x"),
             LinkCloseReason::ProtocolError},
            {"a control frame over 125 bytes", RawConnection::frame(0x89, std::string(200, 'x')),
             LinkCloseReason::ProtocolError},
            {"a text frame instead of a binary one", RawConnection::frame(0x81, "x"),
             LinkCloseReason::ProtocolError},
    };
}

} // namespace

TEST_CASE("A link transfers complete binary messages", "[Transport][WebsocketLink]")
{
    ListenerFixture fixture;
    RecordingObserver clientObserver;
    const std::unique_ptr<WebsocketLink> link = connectWebsocket(
            fixture.loop, fixture.listener.endpoint(), testLimits(), clientObserver);
    REQUIRE(fixture.runUntil([&] {
        return clientObserver.opened && !fixture.acceptedLinks.empty()
               && fixture.lastObserver().opened;
    }));

    SECTION("in both directions and in order")
    {
        link->sendFrame("one");
        link->sendFrame(std::string(4'000, 'b'));
        fixture.acceptedLinks.back()->link->sendFrame("two");
        REQUIRE(fixture.runUntil([&] {
            return fixture.lastObserver().frames.size() == 2 && clientObserver.frames.size() == 1;
        }));
        CHECK(fixture.lastObserver().frames[0] == "one");
        CHECK(clientObserver.frames[0] == "two");
    }
    SECTION("a close is reported to both sides")
    {
        link->close();
        CHECK(clientObserver.closeReason == LinkCloseReason::LocalClosed);
        CHECK(fixture.runUntil(
                [&] { return fixture.lastObserver().closeReason == LinkCloseReason::PeerClosed; }));
    }
    SECTION("the link to a peer that does not read is closed")
    {
        ListenerFixture unreadFixture;
        RawConnection rawConnection(unreadFixture.listener.endpoint());
        REQUIRE(unreadFixture.performHandshake(rawConnection));
        const std::string payload(4'000, 'c');
        for (int i = 0; i < 10'000 && !unreadFixture.lastObserver().closeReason; ++i) {
            unreadFixture.acceptedLinks.back()->link->sendFrame(payload);
            unreadFixture.loop.runOnce(false);
        }
        CHECK(unreadFixture.lastObserver().closeReason == LinkCloseReason::PeerTooSlow);
    }
}

TEST_CASE("A link that never opens reports the reason", "[Transport][WebsocketLink]")
{
    ListenerFixture fixture;

    SECTION("a refused connection")
    {
        Endpoint closedEndpoint = fixture.listener.endpoint();
        {
            const ListenerFixture temporaryFixture;
            closedEndpoint = temporaryFixture.listener.endpoint();
        }
        RecordingObserver clientObserver;
        const std::unique_ptr<WebsocketLink> link =
                connectWebsocket(fixture.loop, closedEndpoint, testLimits(), clientObserver);
        CHECK(fixture.runUntil(
                [&] { return clientObserver.closeReason == LinkCloseReason::ConnectFailed; }));
    }
    SECTION("a client that sends nothing, a partial request or no WebSocket request")
    {
        const std::string data =
                GENERATE(as<std::string>{}, "",
                         "GET /peer HTTP/1.1\r\nHost:", "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
                         "\x16\x03\x01\x02", std::string(40'000, 'G'));
        RawConnection rawConnection(fixture.listener.endpoint());
        rawConnection.write(data);
        CHECK(fixture.runUntil([&] {
            return !fixture.acceptedLinks.empty()
                   && fixture.lastObserver().closeReason == LinkCloseReason::HandshakeFailed;
        }));
        CHECK(fixture.runUntil([&] {
            rawConnection.read();
            return rawConnection.closed();
        }));
    }
}

TEST_CASE("Invalid frames close their link without affecting other links",
          "[Transport][WebsocketLink]")
{
    ListenerFixture fixture;
    RawConnection healthyConnection(fixture.listener.endpoint());
    REQUIRE(fixture.performHandshake(healthyConnection));
    RecordingObserver &healthyObserver = fixture.lastObserver();

    SECTION("each kind of invalid frame")
    {
        for (const InvalidFrame &invalidFrame : invalidFrames()) {
            INFO(invalidFrame.name);
            RawConnection rawConnection(fixture.listener.endpoint());
            REQUIRE(fixture.performHandshake(rawConnection));
            rawConnection.write(invalidFrame.data);
            CHECK(fixture.runUntil([&] { return fixture.lastObserver().closeReason.has_value(); }));
            CHECK(fixture.lastObserver().closeReason == invalidFrame.closeReason);
            CHECK(fixture.lastObserver().frames.empty());
        }
    }
    SECTION("randomly truncated frames followed by random bytes")
    {
        SeededRandom random(FuzzSeed);
        for (int round = 0; round < FuzzRounds; ++round) {
            INFO("seed " << FuzzSeed << ", round " << round);
            RawConnection rawConnection(fixture.listener.endpoint());
            REQUIRE(fixture.performHandshake(rawConnection));
            std::string data = RawConnection::frame(BinaryFrame, std::string(200, 'd'));
            data.resize(1 + random.nextBelow(data.size() - 1));
            for (std::uint64_t i = random.nextBelow(64); i > 0; --i)
                data.push_back(static_cast<char>(random.next()));
            rawConnection.write(data);
            fixture.loop.runOnce(false);
        }
    }
    healthyConnection.write(RawConnection::frame(BinaryFrame, "still here"));
    CHECK(fixture.runUntil([&] { return !healthyObserver.frames.empty(); }));
    CHECK_FALSE(healthyObserver.closeReason);
}

// Guards against last frames that the peer takes for a protocol error.
TEST_CASE("A closing link wrote zeros in place of its last frames", "[Transport][WebsocketLink]")
{
    ListenerFixture fixture;
    RecordingObserver clientObserver;
    std::unique_ptr<WebsocketLink> link = connectWebsocket(
            fixture.loop, fixture.listener.endpoint(), testLimits(), clientObserver);
    REQUIRE(fixture.runUntil([&] {
        return clientObserver.opened && !fixture.acceptedLinks.empty()
               && fixture.lastObserver().opened;
    }));
    RecordingObserver &peer = fixture.lastObserver();

    SECTION("when it is closed right after a frame")
    {
        link->sendFrame("last words");
        CHECK(link->unsentBytes() > 0);
        link->close();
        CHECK(link->unsentBytes() == 0);
        REQUIRE(fixture.runUntil([&] { return peer.closeReason.has_value(); }));
        CHECK(peer.closeReason == LinkCloseReason::PeerClosed);
        CHECK(peer.frames == std::vector<std::string>{"last words"});
    }
    SECTION("when its owner goes")
    {
        link->sendFrame("last words");
        link.reset();
        REQUIRE(fixture.runUntil([&] { return peer.closeReason.has_value(); }));
        CHECK(peer.closeReason == LinkCloseReason::PeerClosed);
        CHECK(peer.frames == std::vector<std::string>{"last words"});
    }
    SECTION("when the peer breaks the protocol")
    {
        RawConnection odd(fixture.listener.endpoint());
        REQUIRE(fixture.performHandshake(odd));
        REQUIRE(fixture.runUntil([&odd, text = std::string()]() mutable {
            text += odd.read();
            return text.find("\r\n\r\n") != std::string::npos;
        }));
        odd.write(RawConnection::frame(0xc2, "x"));
        fixture.acceptedLinks.back()->link->sendFrame("answer");
        std::string received;
        REQUIRE(fixture.runUntil([&] {
            received += odd.read();
            return odd.closed();
        }));
        CHECK(received
              == "\x82\x06"
                 "answer");
    }
    SECTION("when bytes behind the handshake break the protocol")
    {
        RawConnection odd(fixture.listener.endpoint());
        odd.write(RawConnection::upgradeRequest() + RawConnection::frame(0xc2, "x"));
        std::string received;
        REQUIRE(fixture.runUntil([&] {
            received += odd.read();
            return odd.closed();
        }));
        CHECK(received.find("HTTP/1.1 101") == 0);
        CHECK(received.find('\0') == std::string::npos);
    }
    SECTION("when the peer is too slow, the bytes that are lost are counted")
    {
        RawConnection slow(fixture.listener.endpoint());
        REQUIRE(fixture.performHandshake(slow));
        WebsocketLink &accepted = *fixture.acceptedLinks.back()->link;
        const RecordingObserver &observer = fixture.lastObserver();
        const std::string frame = "\x82\x7e\x0f\xa0" + std::string(4'000, 'c');
        std::size_t sentFrames = 0;
        for (; sentFrames < 10'000 && !observer.closeReason; ++sentFrames) {
            accepted.sendFrame(frame.substr(4));
            fixture.loop.runOnce(false);
        }
        REQUIRE(observer.closeReason == LinkCloseReason::PeerTooSlow);
        std::string received;
        REQUIRE(fixture.runUntil([&] {
            received += slow.read();
            return slow.closed();
        }));
        received.erase(0, received.find("\r\n\r\n") + 4);
        CHECK(received.size() + accepted.unsentBytes() == sentFrames * frame.size());
        bool sound = true;
        for (std::size_t i = 0; i < received.size(); ++i)
            sound = sound && received[i] == frame[i % frame.size()];
        CHECK(sound);
    }
}

// Guards against a failed write that closes the link below the send.
TEST_CASE("A frame that found no memory ended the process", "[Transport][WebsocketLink]")
{
    ListenerFixture fixture;
    RawConnection peer(fixture.listener.endpoint());
    REQUIRE(fixture.performHandshake(peer));
    {
        const NoMemoryForFrames noMemory;
        fixture.acceptedLinks.back()->link->sendFrame(std::string(4'000, 'a'));
    }
    CHECK(fixture.lastObserver().closeReason);
}
