#include "entry_host/gateway_host.h"

#include "support/in_memory_collection_store.h"
#include "support/plain_gateway_protocol.h"
#include "support/raw_client.h"
#include "support/scripted_server.h"

#include <catch2/catch.hpp>
#include <functional>
#include <list>

using namespace dotterel;
using namespace dotterel::support;
using std::chrono::milliseconds;

namespace {

struct GatewayHostFixture
{
    GatewayHostFixture()
    {
        Route route;
        route.name = "orders";
        route.hostName = "shop";
        route.pathPrefix = "/orders/";
        route.kind = RouteKind::Idempotent;
        route.pools = {{"app", 1}};
        route.timeout = milliseconds(1'000);
        this->protocol.configurations["first"].version = 1;
        this->protocol.configurations["first"].routes = {route};
        this->protocol.configurations["first"].pools["app"] = {"app", 10, std::nullopt};
        this->protocol.configurations["second"] = this->protocol.configurations["first"];
        this->protocol.configurations["second"].version = 2;
        this->protocol.configurations["second"].routes[0].pathPrefix = "/moved/";
    }

    static Settings settings(const std::string &name)
    {
        Settings result;
        result.host = name;
        result.failureDomain = "centro-a";
        result.heartbeatInterval = milliseconds(50);
        result.shutdownLimitSeconds = 5;
        return result;
    }

    std::unique_ptr<GatewayHost> start(const std::string &name, CollectionStore &store)
    {
        return std::make_unique<GatewayHost>(this->loop, settings(name), ++this->incarnation,
                                             this->protocol, store, "/ready", this->log);
    }

    void configure(const std::string &text)
    {
        this->store.setObject(Collection::Configuration, "main", text);
    }

    void addServer(const Endpoint &endpoint, const ServerId &id = "s1")
    {
        GatewayServer server;
        server.id = id;
        server.pool = "app";
        server.endpoint = endpoint;
        this->protocol.servers["server-" + id] = server;
        this->store.setObject(Collection::Servers, id, "server-" + id);
    }

    void runUntil(const std::function<bool()> &condition)
    {
        const TimePoint deadline = this->loop.now() + std::chrono::seconds(8);
        while (!condition() && this->loop.now() < deadline) {
            const EventLoop::TimerHandle wake = this->loop.after(milliseconds(20), [] {});
            this->loop.runOnce(true);
        }
        REQUIRE(condition());
    }

    void runFor(Duration time)
    {
        const TimePoint end = this->loop.now() + time;
        this->runUntil([&] { return this->loop.now() >= end; });
    }

    /// Sends a request and returns the received bytes once they contain \a expected.
    std::string sendRequest(const GatewayHost &host, const std::string &target,
                            const std::string &expected)
    {
        RawClient client(this->loop, host.callers());
        client.send("GET " + target + " HTTP/1.1\r\nHost: shop\r\nId: r1\r\n\r\n");
        this->runUntil([&] { return client.received().find(expected) != std::string::npos; });
        return client.received();
    }

    std::string checkReadiness(const GatewayHost &host, const std::string &expected)
    {
        RawClient client(this->loop, host.readiness());
        client.send("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
        this->runUntil([&] { return client.received().find(expected) != std::string::npos; });
        return client.received();
    }

    EventLoop loop;
    NullEventLog log;
    PlainGatewayProtocol protocol;
    InMemoryCollectionStore store{this->loop};
    Incarnation incarnation = 0;
};

const char *const ServerResponse = "HTTP/1.1 200 OK\r\nSigned: s\r\nId: r1\r\nConnection: "
                                   "close\r\nContent-Length: 4\r\n\r\ndone";

} // namespace

TEST_CASE("A gateway host becomes ready once it has a configuration and a server",
          "[EntryHost][GatewayHost]")
{
    GatewayHostFixture fixture;
    ScriptedServer server(fixture.loop, {40, ServerResponse, ScriptEnd::Close});
    const std::unique_ptr<GatewayHost> host = fixture.start("h1", fixture.store);
    CHECK_FALSE(host->ready());
    fixture.checkReadiness(*host, "503");
    fixture.sendRequest(*host, "/orders/1", "503");

    fixture.configure("first");
    fixture.addServer(server.endpoint());
    fixture.runUntil([&] { return host->ready(); });
    fixture.checkReadiness(*host, "200");
    CHECK_THAT(fixture.sendRequest(*host, "/orders/1", "done"), Catch::Contains("Signed: s"));
    CHECK(fixture.store.objects[Collection::Hosts].count("h1") == 1);

    SECTION("a new configuration from the store is applied")
    {
        fixture.configure("second");
        fixture.runUntil([&] {
            return fixture.sendRequest(*host, "/moved/1", "HTTP/1.1").find("done")
                   != std::string::npos;
        });
        fixture.sendRequest(*host, "/orders/1", "404");
    }
    SECTION("an older or invalid configuration is ignored")
    {
        fixture.configure("second");
        fixture.runUntil([&] {
            return fixture.sendRequest(*host, "/moved/1", "HTTP/1.1").find("done")
                   != std::string::npos;
        });
        fixture.configure("first");
        fixture.configure("unreadable");
        fixture.loop.runOnce(false);
        fixture.sendRequest(*host, "/moved/1", "done");
    }
    SECTION("an invalid server entry does not affect other servers")
    {
        fixture.store.setObject(Collection::Servers, "s2", "foreign");
        fixture.sendRequest(*host, "/orders/1", "done");
    }
    SECTION("a host whose store lacks the objects gets them from a peer")
    {
        // The second store has the same host list, but no configuration and no servers.
        InMemoryCollectionStore emptyStore(fixture.loop);
        emptyStore.objects[Collection::Hosts] = fixture.store.objects[Collection::Hosts];
        const std::unique_ptr<GatewayHost> otherHost = fixture.start("h2", emptyStore);
        fixture.store.objects[Collection::Hosts]["h2"] =
                emptyStore.objects[Collection::Hosts].at("h2");
        fixture.runUntil([&] { return otherHost->ready(); });
        fixture.sendRequest(*otherHost, "/orders/1", "done");
    }
    SECTION("on shutdown it becomes not ready, completes open requests and removes its host entry")
    {
        bool finished = false;
        host->beginShutdown([&finished] { finished = true; });
        fixture.checkReadiness(*host, "503");
        CHECK_THAT(fixture.sendRequest(*host, "/orders/1", "done"),
                   Catch::Contains("Connection: close"));
        fixture.runUntil([&finished] { return finished; });
        CHECK(fixture.store.objects[Collection::Hosts].count("h1") == 0);
    }
    SECTION("a stop that is asked for again and again ends no later")
    {
        bool finished = false;
        const auto askTimer = fixture.loop.every(
                milliseconds(5), [&] { host->beginShutdown([&finished] { finished = true; }); });
        fixture.runUntil([&finished] { return finished; });
    }
}

TEST_CASE("A planned stop under load answers every request that was accepted",
          "[EntryHost][GatewayHost]")
{
    GatewayHostFixture fixture;
    ScriptedServer server(fixture.loop, {40, ServerResponse, ScriptEnd::Close});
    fixture.configure("first");
    fixture.addServer(server.endpoint());
    const std::unique_ptr<GatewayHost> host = fixture.start("h1", fixture.store);
    fixture.runUntil([&] { return host->ready(); });
    const std::string request = "GET /orders/1 HTTP/1.1\r\nHost: shop\r\nId: r1\r\n\r\n";
    const auto isAnswered = [](const RawClient &client) {
        return client.received().find("done") != std::string::npos
               || client.received().find("503") != std::string::npos;
    };
    // Requests on new connections, and a second one on each that stays open.
    std::list<RawClient> clients;
    const Endpoint callers = host->callers();
    const auto sendFor = [&](Duration time) {
        for (const TimePoint end = fixture.loop.now() + time; fixture.loop.now() < end;) {
            clients.emplace_back(fixture.loop, callers).send(request);
            fixture.runFor(milliseconds(5));
        }
    };
    sendFor(milliseconds(300));
    bool finished = false;
    host->beginShutdown([&finished] { finished = true; });
    sendFor(milliseconds(400));
    const std::size_t sentCount = clients.size();

    SECTION("also those that came after the stop had begun")
    {
        fixture.runUntil([&finished] { return finished; });
        CHECK(sentCount > 50);
        for (const RawClient &client : clients)
            CHECK(isAnswered(client));
    }
    SECTION("until the host listens no more, and none is cut off half answered")
    {
        while (!finished)
            sendFor(milliseconds(50));
        std::size_t unanswered = 0;
        for (const RawClient &client : clients) {
            unanswered += isAnswered(client) ? 0 : 1;
            CHECK((isAnswered(client) || client.received().empty()));
        }
        CHECK(clients.size() - unanswered >= sentCount);
    }
}

TEST_CASE("A host that starts or was cut off learns which requests crash servers",
          "[EntryHost][GatewayHost]")
{
    GatewayHostFixture fixture;
    ScriptedServer crashing(fixture.loop, {40, "", ScriptEnd::Reset});
    fixture.configure("first");
    for (const char *id : {"s1", "s2", "s3"})
        fixture.addServer(crashing.endpoint(), id);
    const std::unique_ptr<GatewayHost> host = fixture.start("h1", fixture.store);
    fixture.runUntil([&] { return host->ready(); });
    fixture.sendRequest(*host, "/orders/1", "502");
    while (fixture.sendRequest(*host, "/orders/1", "HTTP/1.1").find("502") != std::string::npos)
        fixture.runFor(milliseconds(10));
    const std::size_t runs = crashing.wholeRequests();
    REQUIRE(runs >= 3);

    const std::unique_ptr<GatewayHost> otherHost = fixture.start("h2", fixture.store);
    fixture.runUntil([&] { return otherHost->ready(); });
    fixture.runFor(milliseconds(1'500));
    CHECK_THAT(fixture.sendRequest(*otherHost, "/orders/1", "HTTP/1.1"), Catch::Contains("503"));
    CHECK(crashing.wholeRequests() == runs);
}
