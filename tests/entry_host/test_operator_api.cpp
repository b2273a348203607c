#include "entry_host/operator_api.h"

#include "transport/http_client.h"

#include <catch2/catch.hpp>

using namespace dotterel;

namespace {

class FakeOperatorTarget : public OperatorTarget
{
public:
    bool isReady() const override { return !this->draining; }
    HostStatus status() const override
    {
        HostStatus status;
        status.identity = {"centro-a-1", 7, "centro-a"};
        status.configurationVersion = 3;
        status.members.push_back({{"centro-b-1", 8, "centro-b"}, 2, true});
        status.servers.push_back({"engine-1", "cake-model", "draining"});
        return status;
    }
    void drain() override { this->draining = true; }

private:
    bool draining = false;
};

} // namespace

TEST_CASE("The operator API reports the state of a host and drains it", "[EntryHost][OperatorApi]")
{
    EventLoop loop;
    HttpClient client(loop);
    PrometheusMetrics metrics;
    FakeOperatorTarget target;
    const OperatorApi api(loop, Endpoint{}, target, metrics);
    const auto call = [&](const std::string &method, const std::string &path) {
        HttpRequest request;
        request.endpoint = api.endpoint();
        request.method = method;
        request.target = path;
        std::optional<HttpResponse> received;
        bool done = false;
        const HttpFetch fetch(
                client, request,
                [&](const std::optional<HttpResponse> &response, const HttpFailure &) {
                    received = response;
                    done = true;
                });
        while (!done)
            loop.runOnce(true);
        return received.value_or(HttpResponse{});
    };

    SECTION("each route accepts only its own method")
    {
        struct RouteCase
        {
            const char *method;
            const char *path;
            int status;
        };
        const std::vector<RouteCase> routeCases = {
                {"GET", "/healthz", 200},  {"GET", "/readyz", 200}, {"GET", "/metrics", 200},
                {"GET", "/status", 200},   {"GET", "/drain", 405},  {"POST", "/status", 405},
                {"GET", "/elsewhere", 404}};
        for (const RouteCase &routeCase : routeCases) {
            INFO(routeCase.method << " " << routeCase.path);
            CHECK(call(routeCase.method, routeCase.path).status == routeCase.status);
        }
    }
    SECTION("the status survives a JSON round trip")
    {
        const auto status = hostStatusFromJson(call("GET", "/status").body);
        REQUIRE(status);
        CHECK(hostStatusToJson(*status) == hostStatusToJson(target.status()));
    }
    SECTION("an invalid status document is an error")
    {
        for (const char *text : {"", "[]", "{}", R"({"host":1})", "{\"host\":\"a\""})
            CHECK_FALSE(hostStatusFromJson(text));
    }
    SECTION("a drain makes the host not ready")
    {
        CHECK(call("POST", "/drain").status == 202);
        CHECK(call("GET", "/readyz").status == 503);
        CHECK(call("POST", "/drain").status == 202);
    }
}
