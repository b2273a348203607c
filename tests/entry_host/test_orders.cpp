#include "state/configuration_repository.h"
#include "support/child_process.h"
#include "support/fleet.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>

using namespace dotterel;
using namespace dotterel::support;

namespace {

using Milliseconds = std::chrono::milliseconds;

/// An order that was sent and whose response has not been waited for.
class PendingOrder
{
public:
    PendingOrder(HttpClient &client, const Endpoint &callers, const std::string &key)
        : fetch(client, request(callers, key),
                [this](const std::optional<HttpResponse> &response, const HttpFailure &) {
                    this->answer = response;
                    this->ended = true;
                })
    {}

    std::optional<HttpResponse> answer;
    bool ended = false;

private:
    static HttpRequest request(const Endpoint &callers, const std::string &key)
    {
        HttpRequest request;
        request.endpoint = callers;
        request.method = "POST";
        request.target = "/v1/services/shop-orders/v1/orders";
        request.headers = {
                {"X-Workspace", "harinal"}, {"X-Request-Class", "order"}, {"Idempotency-Key", key}};
        request.body = std::make_shared<const std::string>("{}");
        return request;
    }

    HttpFetch fetch;
};

bool bodyContains(const std::optional<HttpResponse> &answer, const std::string &text)
{
    return answer && answer->body.find(text) != std::string::npos;
}

/// A platform, a service and two entry hosts, each in a process of its own.
class OrderProcesses
{
public:
    OrderProcesses()
    {
        this->platform = this->start("platform", {"/tests/dotterelfake", "platform"});
        this->service = this->start("service", {"/tests/dotterelfake", "service"});
        this->platformEndpoint = this->printedEndpoint(*this->platform);
        this->serviceEndpoint = this->printedEndpoint(*this->service);
        this->storeConfiguration();
        for (int i = 0; i < 2; ++i)
            this->startHost(i);
    }

    /// Starts host \a index and waits until it has applied a configuration.
    void startHost(int index)
    {
        const std::string name = "orders-host-" + std::to_string(index);
        const std::string path = this->directory + name + ".yaml";
        const auto endpoint = [](const std::string &key, std::uint16_t port) {
            return key + ": {address: 127.0.0.1, port: " + std::to_string(port) + "}\n";
        };
        std::ofstream(path) << "host: " << name << "\nfailure-domain: centro-a\n"
                            << endpoint("callers", 0) << endpoint("operators", 0)
                            << endpoint("peers", 0)
                            << endpoint("platform", this->platformEndpoint.port);
        this->hosts[index] = this->start(name, {"/dotterelfieldd", "--settings", path});
        ChildProcess &process = *this->hosts[index];
        REQUIRE(this->runUntil(
                [&process] { return process.output().find("host_ready") != std::string::npos; }));
        const std::string output = process.output();
        const std::string addressPrefix = "\"callers\":\"127.0.0.1:";
        this->callers[index] = {"127.0.0.1",
                                static_cast<std::uint16_t>(std::stoi(output.substr(
                                        output.find(addressPrefix) + addressPrefix.size())))};
    }

    std::unique_ptr<PendingOrder> send(int host, const std::string &key)
    {
        return std::make_unique<PendingOrder>(this->client, this->callers[host], key);
    }

    std::optional<HttpResponse> order(int host, const std::string &key)
    {
        const std::unique_ptr<PendingOrder> pending = this->send(host, key);
        this->runUntil([&pending] { return pending->ended; });
        return pending->answer;
    }

    std::uint64_t count(const std::string &key)
    {
        const std::string body = this->fetch(this->serviceEndpoint, "/test/counts");
        return nlohmann::json::parse(body).value(key, std::uint64_t{0});
    }

    void setPlatformFaults(const std::string &query)
    {
        this->fetch(this->platformEndpoint, "/test/faults?" + query);
    }

    bool runUntil(const std::function<bool()> &condition)
    {
        bool expired = false;
        const auto limit =
                this->loop.after(std::chrono::seconds(10), [&expired] { expired = true; });
        const auto tick = this->loop.every(Milliseconds(5), [] {});
        while (!condition() && !expired)
            this->loop.runOnce(true);
        return !expired;
    }

    void runFor(Duration time)
    {
        bool expired = false;
        const auto timer = this->loop.after(time, [&expired] { expired = true; });
        while (!expired)
            this->loop.runOnce(true);
    }

    std::array<std::unique_ptr<ChildProcess>, 2> hosts;

private:
    std::unique_ptr<ChildProcess> start(const std::string &name, std::vector<std::string> arguments)
    {
        arguments.front() = DOTTEREL_BINARY_DIR + arguments.front();
        return std::make_unique<ChildProcess>(arguments, this->directory + "orders-" + name);
    }

    Endpoint printedEndpoint(ChildProcess &process)
    {
        REQUIRE(this->runUntil(
                [&process] { return process.output().find('\n') != std::string::npos; }));
        return {"127.0.0.1", static_cast<std::uint16_t>(std::stoi(process.output()))};
    }

    std::string fetch(const Endpoint &endpoint, const std::string &target)
    {
        HttpRequest request;
        request.endpoint = endpoint;
        request.target = target;
        std::optional<HttpResponse> answer;
        const HttpFetch fetch(this->client, request,
                              [&answer](const std::optional<HttpResponse> &response,
                                        const HttpFailure &) { answer = response; });
        REQUIRE(this->runUntil([&answer] { return answer.has_value(); }));
        return answer->body;
    }

    void storeConfiguration()
    {
        Configuration configuration;
        configuration.version = 1;
        configuration.workspaces["harinal"] = {"harinal", 1.0};
        configuration.requestClasses["order"] = {"order", std::chrono::seconds(2), false};
        configuration.pools["shop-orders"] = {"shop-orders", PoolKind::Service};
        BackendServer server;
        server.id = "orders-0";
        server.pool = "shop-orders";
        server.endpoint = this->serviceEndpoint;
        configuration.servers[server.id] = server;
        HttpObjectStore store(this->loop, this->client, this->platformEndpoint,
                              std::chrono::seconds(5), this->metrics);
        bool done = false;
        ConfigurationRepository repository(store);
        repository.replace(configuration, 0, [&done](const auto &result) {
            CHECK(result);
            done = true;
        });
        REQUIRE(this->runUntil([&done] { return done; }));
    }

    EventLoop loop;
    HttpClient client{this->loop};
    NullMetrics metrics;
    std::string directory = std::string(DOTTEREL_BINARY_DIR) + "/tests/";
    std::unique_ptr<ChildProcess> platform;
    std::unique_ptr<ChildProcess> service;
    Endpoint platformEndpoint;
    Endpoint serviceEndpoint;
    std::array<Endpoint, 2> callers;
};

} // namespace

TEST_CASE("An order sent to several entry hosts runs at most once", "[EntryHost][Orders]")
{
    Fleet fleet(FleetShape{});
    const auto send = [&fleet](std::size_t host, const std::string &key) {
        return std::make_unique<PendingOrder>(fleet.httpClient(), fleet.host(host).callers(), key);
    };

    SECTION("concurrent orders with the same key through all hosts")
    {
        std::vector<std::unique_ptr<PendingOrder>> orders;
        for (std::size_t i = 0; i < 12; ++i)
            orders.push_back(send(i % fleet.hostCount(), "cake"));
        CHECK(fleet.runUntil([&orders] {
            return std::all_of(orders.begin(), orders.end(),
                               [](const auto &order) { return order->ended; });
        }));
        CHECK(fleet.orderCount("cake") == 1);
    }
    SECTION("the platform loses responses, then returns stale reads")
    {
        fleet.platform().setFaults({false, true, false, Duration::zero()});
        const std::optional<HttpResponse> first = fleet.order(0, "cake");
        REQUIRE(first);
        CHECK(first->status == 200);
        fleet.platform().setFaults({false, false, true, Duration::zero()});
        for (std::size_t host = 0; host < fleet.hostCount(); ++host)
            CHECK(fleet.order(host, "cake"));
        CHECK(fleet.orderCount("cake") == 1);
    }
    SECTION("while the platform is down an order is refused as not run and questions are served")
    {
        fleet.platform().setFaults({true, false, false, Duration::zero()});
        const std::optional<HttpResponse> refused = fleet.order(0, "cake");
        CHECK(bodyContains(refused, "\"verdict\":\"not_run\""));
        CHECK(bodyContains(refused, "platform_unavailable"));
        CHECK(!refused->header("Retry-After").empty());
        const std::optional<HttpResponse> question = fleet.ask(0, 1'000);
        CHECK((question && question->status == 200));
        CHECK(fleet.orderCount("cake") == 0);
        fleet.platform().setFaults({});
        CHECK(fleet.runUntil([&fleet] {
            const std::optional<HttpResponse> retried = fleet.order(1, "cake");
            return retried && retried->status == 200;
        }));
        CHECK(fleet.orderCount("cake") == 1);
    }
    SECTION("the service fails after running the order: every host reports an unknown outcome")
    {
        for (std::size_t i = 0; i < 3; ++i)
            fleet.service(i).setBehaviour({Milliseconds(5), true, false});
        CHECK(bodyContains(fleet.order(0, "cake"), "\"verdict\":\"may_have_run\""));
        for (std::size_t i = 0; i < 3; ++i)
            fleet.service(i).setBehaviour({});
        for (std::size_t host = 0; host < fleet.hostCount(); ++host)
            CHECK(fleet.runUntil([&fleet, host] {
                return bodyContains(fleet.order(host, "cake"), "order_outcome_unknown");
            }));
        CHECK(fleet.orderCount("cake") == 1);
    }
    SECTION("the entry host is killed while the service runs the order")
    {
        for (std::size_t i = 0; i < 3; ++i)
            fleet.service(i).setBehaviour({Milliseconds(200), false, false});
        const std::unique_ptr<PendingOrder> order = send(0, "cake");
        CHECK(fleet.runUntil([&fleet] { return fleet.orderCount("cake") == 1; }));
        fleet.killHost(0);
        CHECK(fleet.runUntil([&fleet] {
            return bodyContains(fleet.order(1, "cake"), "order_outcome_unknown");
        }));
        CHECK(fleet.orderCount("cake") == 1);
    }
}

TEST_CASE("An order through hosts in separate processes runs at most once",
          "[EntryHost][OrderProcesses]")
{
    OrderProcesses processes;

    SECTION("the claiming host is stopped while its claim is written and resumes after the "
            "deadline")
    {
        // The claim takes effect 300 ms after it was sent, when its sender has already been
        // stopped.
        processes.setPlatformFaults("delay_ms=300");
        const std::unique_ptr<PendingOrder> first = processes.send(0, "cake");
        processes.runFor(Milliseconds(100));
        processes.hosts[0]->signal(SIGSTOP);
        processes.runFor(Milliseconds(2'300));
        processes.setPlatformFaults("");
        CHECK(bodyContains(processes.order(1, "cake"), "\"verdict\":\"may_have_run\""));
        processes.hosts[0]->signal(SIGCONT);
        CHECK(processes.runUntil([&first] { return first->ended; }));
        CHECK(bodyContains(first->answer, "\"verdict\":\"not_run\""));
        CHECK(processes.count("cake") == 0);
        CHECK(processes.runUntil([&processes] {
            const std::optional<HttpResponse> later = processes.order(1, "cake");
            return later && later->status == 200;
        }));
        CHECK(processes.count("cake") == 1);
    }
    SECTION("the claiming host is killed before or after its claim is written")
    {
        for (int round = 0; round < 4; ++round) {
            const std::string key = "cake-" + std::to_string(round);
            const std::unique_ptr<PendingOrder> first = processes.send(0, key);
            processes.runFor(Milliseconds(2 * round));
            processes.hosts[0]->signal(SIGKILL);
            processes.hosts[0]->wait();
            const std::optional<HttpResponse> second = processes.order(1, key);
            REQUIRE(second);
            const bool orderAnswered = second->status == 200;
            CHECK((orderAnswered || bodyContains(second, "order_outcome_unknown")
                   || bodyContains(second, "order_in_progress")));
            CHECK(processes.count(key) <= 1);
            if (orderAnswered)
                CHECK(processes.count(key) == 1);
            processes.startHost(0);
        }
    }
}
