// Requests that are accused because all servers of a host seemed to end, while the servers live on.

#include "entry_host/gateway_host.h"
#include "platform/soak/raw_http_server.h"
#include "platform/soak/soak_store.h"
#include "platform_protocol.h"
#include "platform_store.h"
#include "support/raw_client.h"
#include "transport/keep_alive_http_client.h"

#include <catch2/catch.hpp>
#include <functional>

using namespace dotterel;
using namespace dotterel::support;
using dotterel::platform::PlatformProtocol;
using dotterel::platform::PlatformStore;
using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t ServerCount = 3;
constexpr std::uint64_t Born = 1'700'000'000'000;

/// A server of the users' platform. Its report names no incarnation unless \a born is set; its
/// health answers name its id.
struct Server
{
    Server(EventLoop &loop, std::string name)
        : id(std::move(name))
        , http(loop, [this](const soak::RawExchangePtr &exchange) { this->answer(exchange); })
    {}

    void answer(const soak::RawExchangePtr &exchange) const
    {
        if (this->resets)
            return exchange->end(soak::ConnectionEnd::Reset);
        const std::string expected = exchange->header("X-Expect-Instance");
        const std::string instance = "X-Instance-Id: " + this->id + "\r\n";
        if (!expected.empty() && expected != this->id)
            return exchange->write("HTTP/1.1 421 X\r\n" + instance + "Content-Length: 0\r\n\r\n");
        const std::string report =
                R"({"stage":"both","queued":0)"
                + (this->born > 0 ? R"(,"born":)" + std::to_string(this->born) : "") + "}";
        if (exchange->target() == "/-/report")
            return this->write(exchange, "", report);
        if (exchange->target() == "/health")
            return this->write(exchange, instance, "");
        this->write(exchange,
                    "X-Server-Seal: s\r\nX-Request-Id: " + exchange->header("X-Request-Id")
                            + "\r\n",
                    "done");
    }

    std::string id;
    std::uint64_t born = 0;
    bool resets = false;
    soak::RawHttpServer http;

private:
    static void write(const soak::RawExchangePtr &exchange, const std::string &headers,
                      const std::string &body)
    {
        exchange->write("HTTP/1.1 200 OK\r\nConnection: close\r\n" + headers
                        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
};

struct AccusedFixture
{
    explicit AccusedFixture(std::uint64_t born)
    {
        this->store.put("config", "main",
                        {{"version", 1},
                         {"routes",
                          {{{"name", "r"},
                            {"host", "shop"},
                            {"path_prefix", "/"},
                            {"kind", "idempotent"},
                            {"service", "app"},
                            {"max_attempts", 2}}}},
                         {"services", {{{"name", "app"}, {"health_path", "/health"}}}}});
        for (std::size_t number = 0; number < ServerCount; ++number) {
            this->servers.push_back(
                    std::make_unique<Server>(this->loop, "i-" + std::to_string(number)));
            this->servers.back()->born = born;
            Json entry = {{"service", "app"},
                          {"address", this->servers.back()->http.endpoint().text()},
                          {"zone", "z"},
                          {"slots", 4},
                          {"state", "ready"}};
            if (born > 0)
                entry["born"] = born;
            this->store.put("servers", this->servers.back()->id, entry);
        }
        Settings settings;
        settings.host = "h";
        settings.failureDomain = "z";
        settings.heartbeatInterval = milliseconds(100);
        this->host = std::make_unique<GatewayHost>(this->loop, settings, 1, this->protocol,
                                                   this->platformStore, "/ready", this->log);
        this->runUntil([this] { return this->host->status().servers.size() == ServerCount; });
    }

    void setResets(bool resets)
    {
        for (const auto &server : this->servers)
            server->resets = resets;
    }

    /// Sends the request, always the same, and returns the status of its response.
    std::string request()
    {
        RawClient client(this->loop, this->host->callers());
        client.send("GET /same HTTP/1.1\r\nHost: shop\r\nX-Request-Id: r"
                    + std::to_string(++this->requests) + "\r\n\r\n");
        this->runUntil([&client] {
            return client.received().find("\r\n\r\n") != std::string::npos || client.closedByPeer();
        });
        const std::size_t begin = client.received().find(' ');
        return begin == std::string::npos ? "closed" : client.received().substr(begin + 1, 3);
    }

    /// Has each server seem to end under the request.
    void accuse()
    {
        this->setResets(true);
        for (std::size_t count = 0; count < 2 * ServerCount; ++count)
            this->request();
        REQUIRE(this->request() == "503");
        this->setResets(false);
    }

    /// Returns whether the request is served within \a limit.
    bool isServedWithin(Duration limit)
    {
        const TimePoint end = this->loop.now() + limit;
        while (this->loop.now() < end) {
            if (this->request() == "200")
                return true;
            const TimePoint next = this->loop.now() + milliseconds(100);
            this->runUntil([this, next] { return this->loop.now() >= next; });
        }
        return false;
    }

    void runUntil(const std::function<bool()> &condition)
    {
        const TimePoint deadline = this->loop.now() + seconds(10);
        while (!condition() && this->loop.now() < deadline) {
            const EventLoop::TimerHandle wake = this->loop.after(milliseconds(20), [] {});
            this->loop.runOnce(true);
        }
        REQUIRE(condition());
    }

    EventLoop loop;
    NullEventLog log;
    PlatformProtocol protocol;
    soak::SoakStore store{this->loop};
    KeepAliveHttpClient client{this->loop, KeepAliveHttpClientLimits{}};
    PlatformStore platformStore{this->loop, this->client, this->store.endpoint(),
                                milliseconds(1'500)};
    std::vector<std::unique_ptr<Server>> servers;
    std::unique_ptr<GatewayHost> host;
    std::size_t requests = 0;
};

} // namespace

TEST_CASE("A sound request stayed refused after a cut since its servers do not name their start",
          "[Platform][CrashSuspects]")
{
    SECTION("entries and reports without a start")
    {
        AccusedFixture fixture(0);
        REQUIRE(fixture.request() == "200");
        fixture.accuse();
        CHECK(fixture.isServedWithin(seconds(2)));
    }
    SECTION("entries and reports with one")
    {
        AccusedFixture fixture(Born);
        REQUIRE(fixture.request() == "200");
        fixture.accuse();
        CHECK(fixture.isServedWithin(seconds(2)));
    }
    SECTION("not if others have their addresses")
    {
        AccusedFixture fixture(0);
        REQUIRE(fixture.request() == "200");
        fixture.accuse();
        for (const auto &server : fixture.servers)
            server->id += "-next";
        CHECK_FALSE(fixture.isServedWithin(seconds(2)));
    }
    SECTION("not if they have restarted under their names")
    {
        AccusedFixture fixture(Born);
        REQUIRE(fixture.request() == "200");
        fixture.accuse();
        for (const auto &server : fixture.servers)
            server->born += 5'000;
        CHECK_FALSE(fixture.isServedWithin(seconds(2)));
    }
}
