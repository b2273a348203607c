// Requests that reach a host late in its planned stop.

#include "entry_host/gateway_host.h"

#include "support/in_memory_collection_store.h"
#include "support/plain_gateway_protocol.h"
#include "support/raw_client.h"
#include "support/scripted_server.h"

#include <catch2/catch.hpp>
#include <functional>

using namespace dotterel;
using namespace dotterel::support;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t ShutdownLimitSeconds = 5;
/// The host stops listening 2.6 s after it begins to stop.
constexpr Duration AfterListening = milliseconds(3'000);
/// Answers nothing, as a server that is still at work.
const Script NoAnswer = {1, "", ScriptEnd::Hold};

struct StoppingHost
{
    StoppingHost()
    {
        GatewayConfiguration &configuration = this->protocol.configurations["first"];
        configuration.version = 1;
        for (const auto &[path, kind] :
             {std::pair{"/orders/", RouteKind::AtMostOnce}, {"/looks/", RouteKind::Idempotent}}) {
            Route route;
            route.name = path;
            route.hostName = "shop";
            route.pathPrefix = path;
            route.kind = kind;
            route.pools = {{"app", 1}};
            route.timeout = seconds(20);
            configuration.routes.push_back(route);
        }
        configuration.pools["app"] = {"app", 10, std::nullopt};
        this->store.setObject(Collection::Configuration, "main", "first");
        GatewayServer entry;
        entry.id = "s1";
        entry.pool = "app";
        entry.endpoint = this->server.endpoint();
        this->protocol.servers["server"] = entry;
        this->store.setObject(Collection::Servers, "s1", "server");
        Settings settings;
        settings.host = "h1";
        settings.failureDomain = "a";
        settings.heartbeatInterval = milliseconds(50);
        settings.shutdownLimitSeconds = ShutdownLimitSeconds;
        this->host = std::make_unique<GatewayHost>(this->loop, settings, 1, this->protocol,
                                                   this->store, "/ready", this->log,
                                                   [this] { this->drained = true; });
        REQUIRE(this->becomesTrue([this] { return this->host->ready(); }, seconds(5)));
    }

    bool becomesTrue(const std::function<bool()> &condition, Duration limit)
    {
        const TimePoint start = this->loop.now();
        while (!condition() && this->loop.now() - start < limit) {
            const EventLoop::TimerHandle wake = this->loop.after(milliseconds(20), [] {});
            this->loop.runOnce(true);
        }
        return condition();
    }

    void runFor(Duration time)
    {
        this->becomesTrue([] { return false; }, time);
    }

    void beginStop()
    {
        this->host->beginShutdown([this] { this->stopped = true; });
    }

    EventLoop loop;
    NullEventLog log;
    PlainGatewayProtocol protocol;
    InMemoryCollectionStore store{this->loop};
    ScriptedServer server{this->loop, NoAnswer};
    std::unique_ptr<GatewayHost> host;
    bool stopped = false;
    bool drained = false;
};

} // namespace

// Guards against requests that are passed on late in the grace and cut off at its end.
TEST_CASE("A request that was read late in a planned stop was passed on and cut off",
          "[EntryHost][LateRequests]")
{
    StoppingHost fixture;
    const std::string path = GENERATE(as<std::string>(), "/orders/1", "/looks/1");
    RawClient client(fixture.loop, fixture.host->callers());
    client.send("POST " + path
                + " HTTP/1.1\r\nHost: shop\r\nId: r1\r\nContent-Length: 4\r\n\r\nab");
    fixture.runFor(milliseconds(200));
    fixture.beginStop();
    fixture.runFor(AfterListening);
    client.send("cd");
    CHECK(fixture.becomesTrue(
            [&] { return client.received().find("HTTP/1.1 503") != std::string::npos; },
            milliseconds(300)));
    CHECK_THAT(client.received(), Catch::Contains("Connection: close"));
    CHECK(fixture.server.wholeRequests() == 0);
    CHECK(fixture.becomesTrue([&] { return fixture.stopped; }, seconds(1)));
}

TEST_CASE("A request that arrives during a planned stop ends before the process",
          "[EntryHost][LateRequests]")
{
    StoppingHost fixture;
    fixture.beginStop();
    fixture.runFor(seconds(1));
    RawClient client(fixture.loop, fixture.host->callers());
    client.send("GET /looks/1 HTTP/1.1\r\nHost: shop\r\nId: r1\r\n\r\n");
    REQUIRE(fixture.becomesTrue([&] { return fixture.server.wholeRequests() == 1; }, seconds(1)));
    // The server learns how long its answer is of use.
    CHECK_THAT(fixture.server.received(), Catch::Contains("Left-Ms: 3"));
    CHECK(fixture.becomesTrue([&] { return fixture.stopped; }, seconds(5)));
    CHECK_THAT(client.received(), Catch::Contains("HTTP/1.1 504"));
}

// Guards against a host that is drained through the operators' port and never ends.
TEST_CASE("A host that an operator drained went on running", "[EntryHost][LateRequests]")
{
    StoppingHost fixture;
    const auto drain = [&fixture] {
        RawClient operatorClient(fixture.loop, fixture.host->operators());
        operatorClient.send("POST /drain HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
        REQUIRE(fixture.becomesTrue(
                [&] { return operatorClient.received().find("202") != std::string::npos; },
                seconds(2)));
    };
    SECTION("the drain ends it")
    {
        drain();
        CHECK(fixture.becomesTrue([&] { return fixture.drained; }, seconds(5)));
    }
    SECTION("a signal after the drain does, at the time of the drain")
    {
        const TimePoint began = fixture.loop.now();
        drain();
        fixture.runFor(seconds(1));
        fixture.beginStop();
        CHECK(fixture.becomesTrue([&] { return fixture.stopped; }, seconds(5)));
        CHECK(fixture.loop.now() - began < milliseconds(3'200));
    }
    SECTION("a drain after the signal keeps the time of the signal")
    {
        const TimePoint began = fixture.loop.now();
        fixture.beginStop();
        fixture.runFor(seconds(1));
        drain();
        CHECK(fixture.becomesTrue([&] { return fixture.drained || fixture.stopped; }, seconds(5)));
        CHECK(fixture.loop.now() - began < milliseconds(3'200));
    }
    SECTION("a signal after its end is answered")
    {
        drain();
        fixture.runFor(seconds(4));
        fixture.beginStop();
        CHECK(fixture.becomesTrue([&] { return fixture.stopped; }, seconds(1)));
    }
}
