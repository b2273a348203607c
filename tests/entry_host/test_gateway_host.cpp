#include "entry_host/gateway_host.h"

#include "support/plain_gateway_protocol.h"
#include "support/raw_client.h"
#include "support/scripted_server.h"

#include <catch2/catch.hpp>
#include <functional>
#include <map>

using namespace dotterel;
using namespace dotterel::support;
using std::chrono::milliseconds;

namespace {

/// An in-process store that calls back from the event loop, and can simulate an outage.
class MemoryCollections : public CollectionStore
{
public:
    explicit MemoryCollections(EventLoop &loop)
        : loop(loop)
    {}

    void list(Collection collection, ListFreshness, PageCallback callback) override
    {
        this->answer([this, collection, callback = std::move(callback)] {
            if (this->away)
                return callback(tl::unexpected(StoreError::Unavailable));
            CollectedPage page;
            page.revision = this->revision;
            for (const auto &[name, object] : this->objects[collection])
                page.objects.push_back(object);
            callback(page);
        });
    }

    void watch(Collection collection, std::uint64_t known, Duration, PageCallback callback) override
    {
        this->answer([this, collection, known, callback = std::move(callback)] {
            if (this->away)
                return callback(tl::unexpected(StoreError::Unavailable));
            CollectedPage page;
            page.revision = this->revision;
            for (const auto &[name, object] : this->objects[collection]) {
                if (object.revision > known)
                    page.objects.push_back(object);
            }
            callback(page);
        });
    }

    void put(Collection collection, const std::string &name, const std::string &text,
             WriteCallback callback) override
    {
        this->set(collection, name, text);
        this->answer([callback = std::move(callback)] { callback({}); });
    }

    void remove(Collection collection, const std::string &name, WriteCallback callback) override
    {
        this->objects[collection].erase(name);
        this->answer([callback = std::move(callback)] { callback({}); });
    }

    void set(Collection collection, const std::string &name, const std::string &text)
    {
        this->objects[collection][name] = {name, ++this->revision, false, text};
    }

    bool away = false;
    std::map<Collection, std::map<std::string, CollectedObject>> objects;

private:
    void answer(std::function<void()> callback)
    {
        const std::size_t index = this->timers.size();
        this->timers.push_back(nullptr);
        this->timers[index] = this->loop.after(milliseconds(10), std::move(callback));
    }

    EventLoop &loop;
    std::uint64_t revision = 1;
    std::vector<EventLoop::TimerHandle> timers;
};

struct Bench
{
    Bench()
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
        this->store.set(Collection::Configuration, "main", text);
    }

    void addServer(const Endpoint &endpoint)
    {
        GatewayServer server;
        server.id = "s1";
        server.pool = "app";
        server.endpoint = endpoint;
        this->protocol.servers["server"] = server;
        this->store.set(Collection::Servers, "s1", "server");
    }

    void until(const std::function<bool()> &condition)
    {
        const TimePoint limit = this->loop.now() + std::chrono::seconds(8);
        while (!condition() && this->loop.now() < limit) {
            const EventLoop::TimerHandle wake = this->loop.after(milliseconds(20), [] {});
            this->loop.runOnce(true);
        }
        REQUIRE(condition());
    }

    /// Sends a request and returns the received bytes once they contain \a expected.
    std::string ask(const GatewayHost &host, const std::string &target, const std::string &expected)
    {
        RawClient client(this->loop, host.callers());
        client.send("GET " + target + " HTTP/1.1\r\nHost: shop\r\nId: r1\r\n\r\n");
        this->until([&] { return client.received().find(expected) != std::string::npos; });
        return client.received();
    }

    std::string readiness(const GatewayHost &host, const std::string &expected)
    {
        RawClient client(this->loop, host.readiness());
        client.send("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
        this->until([&] { return client.received().find(expected) != std::string::npos; });
        return client.received();
    }

    EventLoop loop;
    NullEventLog log;
    PlainGatewayProtocol protocol;
    MemoryCollections store{this->loop};
    Incarnation incarnation = 0;
};

const char *const Answer = "HTTP/1.1 200 OK\r\nSigned: s\r\nId: r1\r\nConnection: "
                           "close\r\nContent-Length: 4\r\n\r\ndone";

} // namespace

TEST_CASE("A gateway host becomes ready once it has a configuration and a server",
          "[EntryHost][GatewayHost]")
{
    Bench bench;
    ScriptedServer server(bench.loop, {40, Answer, ScriptEnd::Close});
    const std::unique_ptr<GatewayHost> host = bench.start("h1", bench.store);
    CHECK_FALSE(host->ready());
    bench.readiness(*host, "503");
    bench.ask(*host, "/orders/1", "503");

    bench.configure("first");
    bench.addServer(server.endpoint());
    bench.until([&] { return host->ready(); });
    bench.readiness(*host, "200");
    CHECK_THAT(bench.ask(*host, "/orders/1", "done"), Catch::Contains("Signed: s"));
    CHECK(bench.store.objects[Collection::Hosts].count("h1") == 1);

    SECTION("a new configuration from the store is applied")
    {
        bench.configure("second");
        bench.until([&] {
            return bench.ask(*host, "/moved/1", "HTTP/1.1").find("done") != std::string::npos;
        });
        bench.ask(*host, "/orders/1", "404");
    }
    SECTION("an older or invalid configuration is ignored")
    {
        bench.configure("second");
        bench.until([&] {
            return bench.ask(*host, "/moved/1", "HTTP/1.1").find("done") != std::string::npos;
        });
        bench.configure("first");
        bench.configure("unreadable");
        bench.loop.runOnce(false);
        bench.ask(*host, "/moved/1", "done");
    }
    SECTION("an invalid server entry does not affect other servers")
    {
        bench.store.set(Collection::Servers, "s2", "foreign");
        bench.ask(*host, "/orders/1", "done");
    }
    SECTION("a host whose store lacks the objects gets them from a peer")
    {
        // The second store has the same host list, but no configuration and no servers.
        MemoryCollections silent(bench.loop);
        silent.objects[Collection::Hosts] = bench.store.objects[Collection::Hosts];
        const std::unique_ptr<GatewayHost> other = bench.start("h2", silent);
        bench.store.objects[Collection::Hosts]["h2"] = silent.objects[Collection::Hosts].at("h2");
        bench.until([&] { return other->ready(); });
        bench.ask(*other, "/orders/1", "done");
    }
    SECTION("on shutdown it becomes not ready, completes open requests and removes its host entry")
    {
        bool finished = false;
        host->beginShutdown([&finished] { finished = true; });
        bench.readiness(*host, "503");
        CHECK_THAT(bench.ask(*host, "/orders/1", "done"), Catch::Contains("Connection: close"));
        bench.until([&finished] { return finished; });
        CHECK(bench.store.objects[Collection::Hosts].count("h1") == 0);
    }
}
