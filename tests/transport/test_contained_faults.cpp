// Exceptions that leave the handling of one event.

#include "support/raw_client.h"
#include "transport/datagram_socket.h"
#include "transport/keep_alive_http_server.h"
#include "transport/websocket_link.h"

#include <catch2/catch.hpp>
#include <functional>
#include <stdexcept>

using namespace dotterel;
using namespace dotterel::support;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct FaultFixture
{
    FaultFixture()
    {
        this->loop.setFaultHandler([this](std::string_view source, const std::exception &error) {
            this->faults.push_back(std::string(source) + ": " + error.what());
        });
    }

    bool becomesTrue(const std::function<bool()> &condition)
    {
        const TimePoint start = this->loop.now();
        while (!condition() && this->loop.now() - start < seconds(3)) {
            const EventLoop::TimerHandle wake = this->loop.after(milliseconds(10), [] {});
            this->loop.runOnce(true);
        }
        return condition();
    }

    EventLoop loop;
    std::vector<std::string> faults;
};

/// Fails on the path "/odd".
struct FailingHandler : HttpCallHandler
{
    void onHttpRequest(HttpCallId call, HttpMessageHead &&head,
                       std::shared_ptr<const std::string> /*body*/) override
    {
        if (head.target == "/odd")
            throw std::runtime_error("odd request");
        this->server->reply(call, 200, {}, "sound");
    }
    void onHttpPeerClosed(HttpCallId /*call*/) override { ++this->callersThatLeft; }
    void onHttpDrained(HttpCallId /*call*/) override {}
    void onHttpRejected(int /*status*/) override {}

    KeepAliveHttpServer *server = nullptr;
    int callersThatLeft = 0;
};

struct FailingLink : LinkObserver
{
    void onLinkOpened() override { this->open = true; }
    void onFrame(std::string_view /*bytes*/) override { throw std::runtime_error("odd frame"); }
    void onLinkClosed(LinkCloseReason newReason) override { this->reason = newReason; }

    bool open = false;
    std::optional<LinkCloseReason> reason;
    std::unique_ptr<WebsocketLink> link;
};

} // namespace

// Guards against one odd object or message that ends the process.
TEST_CASE("An exception in the handling of one event ended the process",
          "[Transport][ContainedFaults]")
{
    FaultFixture fixture;

    SECTION("a timer")
    {
        int calls = 0;
        const auto timer = fixture.loop.every(milliseconds(10), [&calls] {
            ++calls;
            throw std::runtime_error("odd timer");
        });
        CHECK(fixture.becomesTrue([&calls] { return calls >= 2; }));
        CHECK(fixture.faults.at(0) == "timer: odd timer");
    }
    SECTION("a request costs its connection")
    {
        FailingHandler handler;
        KeepAliveHttpServer server(fixture.loop, {"127.0.0.1", 0}, {}, handler);
        handler.server = &server;
        RawClient odd(fixture.loop, server.endpoint());
        RawClient sound(fixture.loop, server.endpoint());
        odd.send("GET /odd HTTP/1.1\r\nHost: h\r\n\r\n");
        CHECK(fixture.becomesTrue([&] { return odd.closedByPeer(); }));
        sound.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
        CHECK(fixture.becomesTrue(
                [&] { return sound.received().find("sound") != std::string::npos; }));
        CHECK(handler.callersThatLeft == 1);
        CHECK(fixture.faults == std::vector<std::string>{"caller_connection: odd request"});
    }
    SECTION("a datagram")
    {
        int received = 0;
        DatagramSocket socket(fixture.loop, {"127.0.0.1", 0}, [&received](std::string_view) {
            if (++received == 1)
                throw std::runtime_error("odd datagram");
        });
        socket.send(socket.endpoint(), "a");
        socket.send(socket.endpoint(), "b");
        CHECK(fixture.becomesTrue([&received] { return received == 2; }));
        CHECK(fixture.faults.size() == 1);
    }
    SECTION("a frame costs its link")
    {
        FailingLink incoming;
        FailingLink outgoing;
        WebsocketListener listener(fixture.loop, {"127.0.0.1", 0}, LinkLimits{},
                                   [&incoming](std::unique_ptr<WebsocketLink> link) {
                                       incoming.link = std::move(link);
                                       incoming.link->setObserver(&incoming);
                                   });
        outgoing.link = connectWebsocket(fixture.loop, listener.endpoint(), LinkLimits{}, outgoing);
        REQUIRE(fixture.becomesTrue([&] { return outgoing.open; }));
        outgoing.link->sendFrame("frame");
        CHECK(fixture.becomesTrue([&] { return incoming.reason.has_value(); }));
        CHECK(incoming.reason == LinkCloseReason::ProtocolError);
        CHECK(fixture.faults.size() == 1);
    }
    SECTION("without a handler it leaves the loop")
    {
        fixture.loop.setFaultHandler({});
        const auto timer =
                fixture.loop.after(milliseconds(1), [] { throw std::runtime_error("unexpected"); });
        CHECK_THROWS_WITH(fixture.becomesTrue([] { return false; }), "unexpected");
    }
}
