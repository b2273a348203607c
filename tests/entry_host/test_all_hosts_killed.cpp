// What a fleet knows after all of its hosts were killed at the same moment.

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

constexpr std::size_t HostCount = 2;
constexpr std::size_t ServerCount = 6;

/// A fleet whose servers crash under every request: they break the connection once they have read
/// it.
struct CrashingFleet
{
    CrashingFleet()
    {
        Route route;
        route.name = "lookups";
        route.hostName = "shop";
        route.pathPrefix = "/lookups/";
        route.kind = RouteKind::Idempotent;
        route.pools = {{"app", 1}};
        route.timeout = seconds(1);
        route.maxAttempts = 2;
        GatewayConfiguration &configuration = this->protocol.configurations["main"];
        configuration.version = 1;
        configuration.routes = {route};
        configuration.pools["app"] = {"app", 10, std::nullopt};
        this->store.setObject(Collection::Configuration, "main", "main");
        for (std::size_t number = 0; number < ServerCount; ++number) {
            this->servers.push_back(std::make_unique<ScriptedServer>(
                    this->loop, Script{40, std::string(), ScriptEnd::Reset}));
            GatewayServer server;
            server.id = "s" + std::to_string(number);
            server.pool = "app";
            server.endpoint = this->servers.back()->endpoint();
            this->protocol.servers[server.id] = server;
            this->store.setObject(Collection::Servers, server.id, server.id);
        }
    }

    void startHosts()
    {
        for (std::size_t number = 0; number < HostCount; ++number) {
            Settings settings;
            settings.host = "h" + std::to_string(number);
            settings.failureDomain = "centro-a";
            settings.heartbeatInterval = milliseconds(50);
            this->hosts.push_back(std::make_unique<GatewayHost>(this->loop, settings,
                                                                ++this->incarnation, this->protocol,
                                                                this->store, "/ready", this->log));
        }
        this->runUntil([this] { return this->hosts[0]->ready() && this->hosts[1]->ready(); });
    }

    void killHosts() { this->hosts.clear(); }

    void runUntil(const std::function<bool()> &condition)
    {
        const TimePoint deadline = this->loop.now() + seconds(8);
        while (!condition() && this->loop.now() < deadline) {
            const EventLoop::TimerHandle wake = this->loop.after(milliseconds(10), [] {});
            this->loop.runOnce(true);
        }
        REQUIRE(condition());
    }

    /// Sends the request whose servers crash to \a host and waits for its answer.
    void ask(const GatewayHost &host)
    {
        RawClient client(this->loop, host.callers());
        client.send("GET /lookups/1 HTTP/1.1\r\nHost: shop\r\nId: r1\r\n\r\n");
        this->runUntil([&] { return client.received().find("\r\n\r\n") != std::string::npos; });
    }

    /// Returns how often the request reached a server.
    std::size_t runs() const
    {
        std::size_t sum = 0;
        for (const auto &server : this->servers)
            sum += server->wholeRequests();
        return sum;
    }

    EventLoop loop;
    NullEventLog log;
    PlainGatewayProtocol protocol;
    InMemoryCollectionStore store{this->loop};
    std::vector<std::unique_ptr<ScriptedServer>> servers;
    Incarnation incarnation = 0;
    std::vector<std::unique_ptr<GatewayHost>> hosts;
};

} // namespace

// Guards against a request that crashes as many servers again each time all hosts are killed.
TEST_CASE("What crashes servers was forgotten when all hosts were killed",
          "[EntryHost][AllHostsKilled]")
{
    CrashingFleet fleet;
    fleet.startHosts();
    for (int request = 0; request < 3; ++request)
        fleet.ask(*fleet.hosts[0]);
    const std::size_t runs = fleet.runs();
    REQUIRE(runs >= 3);
    fleet.ask(*fleet.hosts[0]);
    REQUIRE(fleet.runs() == runs);
    const auto &kept = fleet.store.objects[Collection::CrashSuspects];
    fleet.runUntil([&kept] { return !kept.empty(); });

    SECTION("each host that starts refuses it")
    {
        for (int kill = 0; kill < 2; ++kill) {
            fleet.killHosts();
            fleet.startHosts();
            for (const auto &host : fleet.hosts)
                fleet.ask(*host);
            CHECK(fleet.runs() == runs);
        }
    }
    SECTION("an entry that cannot be read does not keep a host from starting")
    {
        fleet.store.setObject(Collection::CrashSuspects, "request-odd", "{\"subject\":7}");
        fleet.killHosts();
        fleet.startHosts();
        fleet.ask(*fleet.hosts[1]);
        CHECK(fleet.runs() == runs);
    }
    SECTION("without the entry they would run it again")
    {
        fleet.killHosts();
        fleet.store.objects.erase(Collection::CrashSuspects);
        fleet.startHosts();
        fleet.ask(*fleet.hosts[0]);
        CHECK(fleet.runs() > runs);
    }
}
