#include "entry_host/gateway_host.h"
#include "platform/soak/loopback_proxy.h"
#include "support/in_memory_collection_store.h"
#include "support/plain_gateway_protocol.h"
#include "support/raw_client.h"
#include "support/scripted_server.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>

using namespace dotterel;
using namespace dotterel::support;
using dotterel::soak::LinkFault;
using dotterel::soak::LoopbackProxy;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t ServerCount = 3;

/// What a request and the answer of a server look like.
constexpr const char *Answer = "HTTP/1.1 200 OK\r\nSigned: s\r\nId: r1\r\nConnection: close\r\n"
                               "Content-Length: 4\r\n\r\ndone";

/// Three hosts in three failure domains. Each reaches the servers through proxies of its own, so
/// that it can be cut off from all of them while it keeps its callers, the store and the other
/// hosts.
class PartitionedHosts
{
public:
    PartitionedHosts()
        : servers(ServerCount)
    {
        for (auto &server : this->servers)
            server = std::make_unique<ScriptedServer>(this->loop,
                                                      Script{40, Answer, ScriptEnd::Close});
        this->store.setObject(Collection::Configuration, "main", "first");
        for (std::size_t server = 0; server < ServerCount; ++server)
            this->store.setObject(Collection::Servers, serverName(server), serverName(server));
        for (const char *name : {"h1", "h2", "h3"})
            this->addHost(name);
        this->runUntil([this] { return this->allReadyAndLinked(); });
        this->runFor(milliseconds(200)); // Some heartbeats.
    }

    ~PartitionedHosts() { this->hosts.clear(); }

    /// Cuts \a host off from all servers: new connections are refused, open ones reset.
    void refuseAll(std::size_t host)
    {
        for (const auto &proxy : this->proxies[host]) {
            proxy->stopListening();
            proxy->resetConnections();
        }
    }

    /// Cuts \a host off from all servers without a sign of it; \a heal ends that.
    void silenceAll(std::size_t host, bool heal = false)
    {
        for (const auto &proxy : this->proxies[host])
            proxy->setFault(heal ? LinkFault::None : LinkFault::DropAllBytes);
    }

    /// Cuts \a host off from all servers: connections are accepted and reset; \a heal ends that.
    void resetAll(std::size_t host, bool heal = false)
    {
        for (const auto &proxy : this->proxies[host]) {
            proxy->setFault(heal ? LinkFault::None : LinkFault::ResetAccepted);
            proxy->resetConnections();
        }
    }

    /// Sends a request to \a host and returns the status of its response.
    std::string request(std::size_t host, const std::string &target)
    {
        RawClient client(this->loop, this->hosts[host]->callers());
        client.send("GET " + target + " HTTP/1.1\r\nHost: shop\r\nId: r1\r\n\r\n");
        this->runUntil([&] {
            return client.received().find("\r\n\r\n") != std::string::npos || client.closedByPeer();
        });
        const std::size_t begin = client.received().find(' ');
        return begin == std::string::npos ? "closed" : client.received().substr(begin + 1, 3);
    }

    /// Sends \a count requests to each of \a hosts before any of them is answered.
    void requestAtOnce(std::size_t count, const std::vector<std::size_t> &hosts,
                       const std::string &target)
    {
        std::vector<std::unique_ptr<RawClient>> clients;
        for (const std::size_t host : hosts) {
            for (std::size_t number = 0; number < count; ++number) {
                clients.push_back(
                        std::make_unique<RawClient>(this->loop, this->hosts[host]->callers()));
                clients.back()->send("GET " + target + " HTTP/1.1\r\nHost: shop\r\nId: r1\r\n\r\n");
            }
        }
        this->runUntil([&] {
            return std::all_of(clients.begin(), clients.end(), [](const auto &client) {
                return client->received().find("\r\n\r\n") != std::string::npos
                       || client->closedByPeer();
            });
        });
    }

    /// Returns how many of \a count requests to \a host were served, one after the other.
    std::size_t servedOf(std::size_t count, std::size_t host, const std::string &target)
    {
        std::size_t served = 0;
        for (std::size_t number = 0; number < count; ++number)
            served += this->request(host, target) == "200" ? 1 : 0;
        return served;
    }

    std::size_t runs() const
    {
        std::size_t sum = 0;
        for (const auto &server : this->servers)
            sum += server->wholeRequests();
        return sum;
    }

    void runUntil(const std::function<bool()> &condition)
    {
        const TimePoint deadline = this->loop.now() + std::chrono::seconds(10);
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

    EventLoop loop;
    std::vector<std::unique_ptr<GatewayHost>> hosts;

private:
    static std::string serverName(std::size_t server) { return "s" + std::to_string(server); }

    static Route route(const std::string &prefix, RouteKind kind)
    {
        Route result;
        result.name = prefix;
        result.hostName = "shop";
        result.pathPrefix = prefix;
        result.kind = kind;
        result.pools = {{"app", 1}};
        result.timeout = milliseconds(4'000);
        result.latencyGoal = milliseconds(150);
        result.maxAttempts = kind == RouteKind::AtMostOnce ? 1 : 2;
        return result;
    }

    void addHost(const std::string &name)
    {
        auto protocol = std::make_unique<PlainGatewayProtocol>();
        GatewayConfiguration &configuration = protocol->configurations["first"];
        configuration.version = 1;
        configuration.routes = {route("/lookups/", RouteKind::Idempotent),
                                route("/orders/", RouteKind::AtMostOnce)};
        configuration.pools["app"] = {"app", 10, std::nullopt};
        std::vector<std::unique_ptr<LoopbackProxy>> ownProxies;
        for (std::size_t server = 0; server < ServerCount; ++server) {
            ownProxies.push_back(
                    std::make_unique<LoopbackProxy>(this->loop, this->servers[server]->endpoint()));
            GatewayServer entry;
            entry.id = serverName(server);
            entry.pool = "app";
            entry.slots = 6;
            entry.endpoint = ownProxies.back()->endpoint();
            protocol->servers[serverName(server)] = entry;
        }
        this->proxies.push_back(std::move(ownProxies));
        Settings settings;
        settings.host = name;
        settings.failureDomain = "domain-" + name;
        settings.heartbeatInterval = milliseconds(50);
        settings.shutdownLimitSeconds = 5;
        this->hosts.push_back(std::make_unique<GatewayHost>(this->loop, settings,
                                                            this->hosts.size() + 1, *protocol,
                                                            this->store, "/ready", this->log));
        this->protocols.push_back(std::move(protocol));
    }

    bool allReadyAndLinked() const
    {
        for (const auto &host : this->hosts) {
            if (!host->ready() || host->status().members.size() < 3)
                return false;
        }
        return true;
    }

    NullEventLog log;
    InMemoryCollectionStore store{this->loop};
    std::vector<std::unique_ptr<ScriptedServer>> servers;
    std::vector<std::unique_ptr<PlainGatewayProtocol>> protocols;
    std::vector<std::vector<std::unique_ptr<LoopbackProxy>>> proxies;
};

} // namespace

TEST_CASE("Hosts that were cut off from all servers failed their callers",
          "[EntryHost][PartitionedHosts]")
{
    PartitionedHosts fleet;
    REQUIRE(fleet.servedOf(3, 0, "/lookups/1") == 3);
    constexpr std::size_t RequestCount = 20;

    SECTION("new connections are refused, open ones reset")
    {
        fleet.refuseAll(0);
        CHECK(fleet.servedOf(RequestCount, 0, "/lookups/1") == RequestCount);
        CHECK(fleet.servedOf(RequestCount, 1, "/lookups/1") == RequestCount);

        SECTION("and orders run once")
        {
            const std::size_t before = fleet.runs();
            CHECK(fleet.servedOf(RequestCount, 0, "/orders/1") == RequestCount);
            CHECK(fleet.runs() == before + RequestCount);
        }
        SECTION("two of three hosts")
        {
            fleet.refuseAll(1);
            CHECK(fleet.servedOf(RequestCount, 1, "/lookups/1") == RequestCount);
            CHECK(fleet.servedOf(RequestCount, 0, "/lookups/1") == RequestCount);
        }
        SECTION("all hosts: refused at once as not run")
        {
            fleet.refuseAll(1);
            fleet.refuseAll(2);
            fleet.servedOf(4, 0, "/lookups/1");
            const std::size_t before = fleet.runs();
            const TimePoint begin = fleet.loop.now();
            CHECK(fleet.request(0, "/lookups/1") == "503");
            CHECK(fleet.request(0, "/orders/1") == "503");
            CHECK(fleet.loop.now() - begin < milliseconds(300));
            CHECK(fleet.runs() == before);
        }
    }
    SECTION("connections hang")
    {
        fleet.silenceAll(0);
        fleet.runFor(milliseconds(100));
        CHECK(fleet.servedOf(RequestCount, 0, "/lookups/1") == RequestCount);

        SECTION("and heal")
        {
            fleet.silenceAll(0, true);
            fleet.runFor(milliseconds(1'500));
            CHECK(fleet.servedOf(RequestCount, 0, "/lookups/1") == RequestCount);
        }
    }
    SECTION("connections are accepted and reset")
    {
        fleet.resetAll(0);
        // A request that was sent may have run; the host finds out meanwhile.
        fleet.request(0, "/orders/first");
        fleet.runFor(milliseconds(1'000));
        CHECK(fleet.servedOf(RequestCount, 0, "/orders/1") == RequestCount);
        CHECK(fleet.servedOf(RequestCount, 0, "/lookups/1") == RequestCount);
        CHECK(fleet.servedOf(RequestCount, 1, "/orders/1") == RequestCount);

        SECTION("at two of three hosts")
        {
            fleet.resetAll(1);
            fleet.request(1, "/orders/first");
            fleet.runFor(milliseconds(1'000));
            CHECK(fleet.servedOf(RequestCount, 1, "/orders/2") == RequestCount);
            CHECK(fleet.servedOf(RequestCount, 0, "/orders/2") == RequestCount);
        }
        SECTION("and heal")
        {
            fleet.resetAll(0, true);
            fleet.runFor(milliseconds(1'500));
            CHECK(fleet.servedOf(RequestCount, 0, "/orders/2") == RequestCount);
        }
    }
    SECTION("connections are accepted and reset: a lookup is served at once")
    {
        fleet.runFor(milliseconds(300));
        fleet.resetAll(0);
        CHECK(fleet.servedOf(RequestCount, 0, "/lookups/1") == RequestCount);
    }
    SECTION("two hosts take a cut for crashes under one request; no caller may pay for it")
    {
        fleet.resetAll(0);
        fleet.resetAll(1);
        fleet.requestAtOnce(6, {0, 1}, "/orders/same");
        fleet.runFor(milliseconds(100));
        fleet.request(2, "/orders/same"); // May be refused until servers have answered a probe.
        fleet.runFor(milliseconds(200));
        CHECK(fleet.servedOf(RequestCount, 2, "/orders/same") == RequestCount);
        fleet.resetAll(0, true);
        fleet.resetAll(1, true);
        fleet.runFor(milliseconds(1'500));
        fleet.request(0, "/orders/same");
        fleet.runFor(milliseconds(200));
        CHECK(fleet.servedOf(RequestCount, 0, "/orders/same") == RequestCount);
    }
}
