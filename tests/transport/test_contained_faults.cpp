// Exceptions that leave the handling of one event.

#include "support/raw_client.h"
#include "transport/datagram_socket.h"
#include "transport/http_client.h"
#include "transport/http_server.h"
#include "transport/keep_alive_http_client.h"
#include "transport/keep_alive_http_server.h"
#include "transport/socket_options.h"
#include "transport/websocket_link.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <event2/event.h>
#include <functional>
#include <new>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

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

/// Fails on the part of a response that `failsOn` names.
struct FailingListener : HttpResponseListener
{
    void onHead(int newStatus, const HttpHeaders & /*headers*/) override
    {
        this->status = newStatus;
        this->failIf("head");
    }
    void onData(std::string_view /*bytes*/) override { this->failIf("data"); }
    void onComplete() override
    {
        this->ended = true;
        this->failIf("end");
    }
    void onFailed(const HttpFailure & /*failure*/) override
    {
        this->failed = true;
        this->failIf("failure");
    }
    void failIf(const std::string &part) const
    {
        if (this->failsOn == part)
            throw std::runtime_error("odd " + part);
    }

    std::string failsOn;
    int status = 0;
    bool ended = false;
    bool failed = false;
};

/// While one exists, libevent gets no memory.
class NoLibeventMemory
{
public:
    NoLibeventMemory() { event_set_mem_functions(&fail, &failToResize, &std::free); }
    ~NoLibeventMemory() { event_set_mem_functions(&std::malloc, &std::realloc, &std::free); }
    NoLibeventMemory(const NoLibeventMemory &) = delete;
    NoLibeventMemory &operator=(const NoLibeventMemory &) = delete;

private:
    static void *fail(std::size_t /*size*/) { return nullptr; }
    static void *failToResize(void * /*memory*/, std::size_t /*size*/) { return nullptr; }
};

/// Returns the descriptor of a new connection to \a endpoint, made without libevent.
int connectPlainly(const Endpoint &endpoint)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const std::optional<sockaddr_in> address = toSocketAddress(endpoint);
    REQUIRE(connect(descriptor, reinterpret_cast<const sockaddr *>(&*address), sizeof(*address))
            == 0);
    return descriptor;
}

HttpRequest getRequest(const Endpoint &endpoint, const std::string &target)
{
    HttpRequest request;
    request.endpoint = endpoint;
    request.method = "GET";
    request.target = target;
    request.timeout = seconds(2);
    return request;
}

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

// Guards against odd requests at the ports of operators and readiness, and odd answers there.
TEST_CASE("An exception in a callback of evhttp ended the process", "[Transport][ContainedFaults]")
{
    FaultFixture fixture;
    HttpExchangePtr heldExchange;
    HttpServer server(fixture.loop, {"127.0.0.1", 0}, 4'096,
                      [&heldExchange](const HttpExchangePtr &exchange) {
                          if (exchange->path() == "/odd")
                              throw std::runtime_error("odd request");
                          if (exchange->path() == "/held") {
                              heldExchange = exchange;
                              exchange->onClosed([] { throw std::runtime_error("odd end"); });
                              return;
                          }
                          exchange->reply(200, {}, "sound");
                      });
    HttpClient client(fixture.loop);
    FailingListener listener;

    SECTION("a request is answered with an error")
    {
        const auto call = client.send(getRequest(server.endpoint(), "/odd"), listener);
        CHECK(fixture.becomesTrue([&listener] { return listener.ended; }));
        CHECK(listener.status == 500);
        CHECK(fixture.faults == std::vector<std::string>{"http_exchange: odd request"});
    }
    SECTION("a peer that leaves")
    {
        {
            RawClient leaving(fixture.loop, server.endpoint());
            leaving.send("GET /held HTTP/1.1\r\nHost: h\r\n\r\n");
            REQUIRE(fixture.becomesTrue([&heldExchange] { return heldExchange != nullptr; }));
        }
        CHECK(fixture.becomesTrue([&fixture] { return !fixture.faults.empty(); }));
        CHECK(fixture.faults == std::vector<std::string>{"http_exchange: odd end"});
    }
    SECTION("a part of a response costs its call")
    {
        listener.failsOn = GENERATE(as<std::string>{}, "head", "data");
        const auto call = client.send(getRequest(server.endpoint(), "/"), listener);
        CHECK(fixture.becomesTrue([&listener] { return listener.failed; }));
        CHECK_FALSE(listener.ended);
        CHECK(fixture.faults.front() == "http_call: odd " + listener.failsOn);
    }
    SECTION("the end of a response")
    {
        listener.failsOn = "end";
        const auto call = client.send(getRequest(server.endpoint(), "/"), listener);
        CHECK(fixture.becomesTrue([&fixture] { return !fixture.faults.empty(); }));
        CHECK(listener.ended);
        CHECK_FALSE(listener.failed);
    }
    SECTION("a call that fails")
    {
        listener.failsOn = "failure";
        const auto call = client.send(getRequest({"127.0.0.1", 1}, "/"), listener);
        CHECK(fixture.becomesTrue([&fixture] { return !fixture.faults.empty(); }));
        CHECK(listener.failed);
    }
    FailingListener sound;
    const auto call = client.send(getRequest(server.endpoint(), "/"), sound);
    CHECK(fixture.becomesTrue([&sound] { return sound.ended; }));
    CHECK(sound.status == 200);
}

// Guards against missing memory, when a line of the log needs some too.
TEST_CASE("The report of an exception failed and ended the process", "[Transport][ContainedFaults]")
{
    FaultFixture fixture;
    int reports = 0;
    fixture.loop.setFaultHandler([&reports](std::string_view, const std::exception &) {
        ++reports;
        throw std::bad_alloc();
    });
    const auto timer = fixture.loop.every(milliseconds(10), [] { throw std::bad_alloc(); });
    CHECK(fixture.becomesTrue([&reports] { return reports >= 2; }));
}

// Guards against a null stream, which libevent does not check either.
TEST_CASE("Missing memory for a connection ended the process", "[Transport][ContainedFaults]")
{
    FaultFixture fixture;
    FailingHandler handler;
    KeepAliveHttpServer callerServer(fixture.loop, {"127.0.0.1", 0}, {}, handler);
    handler.server = &callerServer;
    const HttpServer operatorServer(
            fixture.loop, {"127.0.0.1", 0}, 4'096,
            [](const HttpExchangePtr &exchange) { exchange->reply(200, {}, "sound"); });
    std::unique_ptr<WebsocketLink> incoming;
    const WebsocketListener peerListener(
            fixture.loop, {"127.0.0.1", 0}, LinkLimits{},
            [&incoming](std::unique_ptr<WebsocketLink> link) { incoming = std::move(link); });
    KeepAliveHttpClient client(fixture.loop, KeepAliveHttpClientLimits{});
    FailingListener listener;
    FailingLink outgoing;

    SECTION("a connection that is accepted")
    {
        // The servers of each section have ports of their own.
        const int port = GENERATE(0, 1, 2);
        const Endpoint endpoint = port == 0   ? callerServer.endpoint()
                                  : port == 1 ? operatorServer.endpoint()
                                              : peerListener.endpoint();
        const int descriptor = connectPlainly(endpoint);
        {
            const NoLibeventMemory none;
            for (int round = 0; round < 5; ++round)
                fixture.loop.runOnce(false);
        }
        close(descriptor);
    }
    SECTION("a call")
    {
        const NoLibeventMemory none;
        CHECK_THROWS_AS(client.send(getRequest(callerServer.endpoint(), "/"), listener),
                        std::bad_alloc);
    }
    SECTION("a link")
    {
        const NoLibeventMemory none;
        CHECK_THROWS_AS(connectWebsocket(fixture.loop, peerListener.endpoint(), {}, outgoing),
                        std::bad_alloc);
    }
    SECTION("a timer")
    {
        const NoLibeventMemory none;
        CHECK_THROWS_AS(fixture.loop.after(seconds(1), [] {}), std::bad_alloc);
    }
    for (const Endpoint &endpoint : {callerServer.endpoint(), operatorServer.endpoint()}) {
        FailingListener sound;
        const auto call = client.send(getRequest(endpoint, "/a"), sound);
        CHECK(fixture.becomesTrue([&sound] { return sound.ended; }));
    }
    outgoing.link = connectWebsocket(fixture.loop, peerListener.endpoint(), {}, outgoing);
    CHECK(fixture.becomesTrue([&outgoing] { return outgoing.open; }));
}

// Guards against calls without an end: the feed of the store's changes would stand still.
TEST_CASE("An exception on a part of a response left its call without an end",
          "[Transport][ContainedFaults]")
{
    FaultFixture fixture;
    FailingHandler handler;
    KeepAliveHttpServer server(fixture.loop, {"127.0.0.1", 0}, {}, handler);
    handler.server = &server;
    KeepAliveHttpClient client(fixture.loop, KeepAliveHttpClientLimits{});
    FailingListener listener;
    listener.failsOn = GENERATE(as<std::string>{}, "head", "data");
    const auto call = client.send(getRequest(server.endpoint(), "/a"), listener);
    CHECK(fixture.becomesTrue([&listener] { return listener.failed; }));
    CHECK_FALSE(listener.ended);
    CHECK(fixture.faults.front() == "server_connection: odd " + listener.failsOn);
}
