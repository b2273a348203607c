#pragma once

#include "entry_host/gateway_host.h"
#include "platform/soak/soak_store.h"
#include "platform_protocol.h"
#include "platform_store.h"
#include "transport/keep_alive_http_client.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>

namespace dotterel::support {

/// Time within which a change must be in force while the store works.
inline constexpr Duration ApplyLimit = std::chrono::milliseconds(2'000);

inline nlohmann::json serverEntry(bool draining = false)
{
    return {{"service", "app"},  {"address", "127.0.0.1:9"},
            {"zone", "z0"},      {"slots", 4},
            {"seq", 1},          {"state", draining ? "draining" : "ready"},
            {"cold_left_ms", 0}, {"born", 1'700'000'000'000}};
}

/// Records which objects were rejected.
class RejectionLog : public EventLog
{
public:
    void write(Event event, const std::vector<LogField> &fields) override
    {
        if (event != Event::ObjectRejected && event != Event::ConfigurationRejected)
            return;
        std::string line;
        for (const LogField &field : fields) {
            if (const std::string *text = std::get_if<std::string>(&field.value))
                line += *text + " ";
        }
        this->lines.push_back(line);
    }

    std::size_t count(const std::string &part) const
    {
        return static_cast<std::size_t>(
                std::count_if(this->lines.begin(), this->lines.end(), [&part](const auto &line) {
                    return line.find(part) != std::string::npos;
                }));
    }

    std::vector<std::string> lines;
};

/// Two gateway hosts in this process and one store.
struct OddObjectFleet
{
    OddObjectFleet()
    {
        this->publishConfiguration(1);
        this->store.put("servers", "sound", serverEntry());
        this->hosts.resize(2);
        this->startHost(0);
        this->startHost(1);
        REQUIRE(this->becomesTrue([this] { return this->allShow("sound", "up"); },
                                  std::chrono::seconds(10)));
    }

    void startHost(std::size_t index)
    {
        this->hosts[index].gateway.reset();
        this->hosts[index].store = std::make_unique<platform::PlatformStore>(
                this->loop, this->client, this->store.endpoint(), std::chrono::milliseconds(1'500));
        Settings settings;
        settings.host = "h" + std::to_string(index);
        settings.failureDomain = "z" + std::to_string(index);
        settings.heartbeatInterval = std::chrono::milliseconds(250);
        settings.domainServiceLimit = std::chrono::seconds(5);
        this->hosts[index].gateway = std::make_unique<GatewayHost>(
                this->loop, settings, ++this->incarnation, this->protocol,
                *this->hosts[index].store, "/ready", this->log);
    }

    void publishConfiguration(std::uint64_t version)
    {
        this->store.put("config", "main",
                        {{"version", version},
                         {"routes",
                          {{{"name", "r"},
                            {"host", "shop"},
                            {"path_prefix", "/"},
                            {"kind", "idempotent"},
                            {"service", "app"}}}},
                         {"services", {{{"name", "app"}}}}});
    }

    /// Returns true if every host lists the server \a id with \a state; with none if it is empty.
    bool allShow(const std::string &id, const std::string &state) const
    {
        return std::all_of(this->hosts.begin(), this->hosts.end(), [&](const Host &host) {
            const auto servers = host.gateway->status().servers;
            const auto found = std::find_if(servers.begin(), servers.end(),
                                            [&id](const auto &server) { return server.id == id; });
            return state.empty() ? found == servers.end()
                                 : found != servers.end() && found->state == state;
        });
    }

    bool allAtVersion(std::uint64_t version) const
    {
        return std::all_of(this->hosts.begin(), this->hosts.end(), [version](const Host &host) {
            return host.gateway->status().configurationVersion == version;
        });
    }

    bool becomesTrue(const std::function<bool()> &condition, Duration limit)
    {
        const TimePoint start = this->loop.now();
        while (!condition() && this->loop.now() - start < limit) {
            const EventLoop::TimerHandle wake =
                    this->loop.after(std::chrono::milliseconds(20), [] {});
            this->loop.runOnce(true);
        }
        return condition();
    }

    struct Host
    {
        std::unique_ptr<platform::PlatformStore> store;
        std::unique_ptr<GatewayHost> gateway;
    };

    EventLoop loop;
    RejectionLog log;
    platform::PlatformProtocol protocol;
    soak::SoakStore store{this->loop};
    KeepAliveHttpClient client{this->loop, KeepAliveHttpClientLimits{}};
    std::vector<Host> hosts;
    Incarnation incarnation = 0;
};

} // namespace dotterel::support
