// A faulty server writes an earlier refusal once more. Callers must not be told "not run" for a
// request that runs, and no such request may run twice.

#include "platform/soak/raw_http_server.h"
#include "support/forward_bench.h"
#include "support/scripted_server.h"
#include "transport/keep_alive_http_client.h"

#include <catch2/catch.hpp>
#include <functional>

using namespace dotterel;
using namespace dotterel::support;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t RequestBytes = 20;

std::string refusal(int status, const std::string &id)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n"
           + (id.empty() ? "" : "Id: " + id + "\r\n") + "Not-Run: 1\r\nContent-Length: 2\r\n\r\nno";
}

std::string success(const std::string &id)
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 2\r\n\r\nok";
}

struct Recorder : HttpResponseListener
{
    void onHead(int responseStatus, const HttpHeaders & /*headers*/) override
    {
        this->status = responseStatus;
    }
    void onData(std::string_view bytes) override { this->body.append(bytes); }
    void onComplete() override { this->complete = true; }
    void onFailed(const HttpFailure &reported) override { this->failure = reported; }

    int status = 0;
    std::string body;
    bool complete = false;
    std::optional<HttpFailure> failure;
    std::unique_ptr<HttpCall> call;
};

struct CopyFixture
{
    void runUntil(const std::function<bool()> &condition)
    {
        const TimePoint deadline = this->loop.now() + std::chrono::seconds(5);
        while (!condition() && this->loop.now() < deadline) {
            const EventLoop::TimerHandle wake = this->loop.after(milliseconds(20), [] {});
            this->loop.runOnce(true);
        }
        REQUIRE(condition());
    }

    std::unique_ptr<Recorder> ask(const Endpoint &endpoint, const std::string &id = "mine")
    {
        auto recorder = std::make_unique<Recorder>();
        HttpRequest request;
        request.endpoint = endpoint;
        request.headers = {{"Host", "shop"}, {"Id", id}};
        request.timeout = milliseconds(500);
        request.connectTimeout = milliseconds(200);
        request.requireNewConnection = false;
        request.echoedHeader = {"Id", id};
        recorder->call = this->client.send(request, *recorder);
        this->runUntil([&recorder] { return recorder->complete || recorder->failure; });
        return recorder;
    }

    /// Sends an order of the host itself, whose response names no call.
    std::unique_ptr<Recorder> order(const Endpoint &endpoint)
    {
        auto recorder = std::make_unique<Recorder>();
        HttpRequest request;
        request.endpoint = endpoint;
        request.method = "POST";
        request.headers = {{"Host", "engine"}};
        request.timeout = milliseconds(500);
        request.requireNewConnection = false;
        recorder->call = this->client.send(request, *recorder);
        this->runUntil([&recorder] { return recorder->complete || recorder->failure; });
        return recorder;
    }

    EventLoop loop;
    KeepAliveHttpClient client{this->loop, KeepAliveHttpClientLimits{}};
};

} // namespace

// Guards against a caller that gets an engine's 409 to an order of the host.
TEST_CASE("A copy of the response to an order was passed on to a caller",
          "[Transport][CopiedRefusals]")
{
    CopyFixture fixture;
    const std::string conflict = "HTTP/1.1 409 X\r\nContent-Length: 14\r\n\r\n{\"free\":60000}";
    soak::RawExchangePtr firstOrder;
    soak::RawHttpServer server(fixture.loop, [&](const soak::RawExchangePtr &request) {
        if (request->header("Id").empty()) {
            if (!firstOrder)
                firstOrder = request;
            request->write(conflict);
        } else {
            firstOrder->write(conflict);
            request->write(success(request->header("Id")));
        }
        request->end(soak::ConnectionEnd::KeepOpen);
    });
    CHECK(fixture.order(server.endpoint())->status == 409);
    const auto response = fixture.ask(server.endpoint());
    CHECK(response->status == 200);
    CHECK(response->body == "ok");
    CHECK(fixture.client.counts().mismatchedResponses == 1);
    CHECK(fixture.client.counts().connectionsOpened == 1);
}

TEST_CASE("A copy of a caller's response is not the response to an order",
          "[Transport][CopiedRefusals]")
{
    CopyFixture fixture;
    soak::RawHttpServer server(fixture.loop, [&](const soak::RawExchangePtr &request) {
        const std::string id = request->header("Id");
        request->write(id.empty() ? success("mine") + refusal(409, "") : success(id));
        request->end(soak::ConnectionEnd::KeepOpen);
    });
    CHECK(fixture.ask(server.endpoint())->status == 200);
    CHECK(fixture.order(server.endpoint())->status == 409);
    CHECK(fixture.client.counts().mismatchedResponses == 1);
    CHECK(fixture.client.counts().connectionsOpened == 1);
}

TEST_CASE("A copy of an earlier refusal is not the response to the next request",
          "[Transport][CopiedRefusals]")
{
    for (const int status : {408, 421, 429, 503}) {
        DYNAMIC_SECTION(status << " before the response")
        {
            CopyFixture fixture;
            ScriptedServer server(
                    fixture.loop,
                    {RequestBytes, refusal(status, "earlier") + success("mine"), ScriptEnd::Hold});
            const auto response = fixture.ask(server.endpoint());
            CHECK(response->status == 200);
            CHECK(response->body == "ok");
        }
        DYNAMIC_SECTION(status << " twice at once")
        {
            CopyFixture fixture;
            ScriptedServer server(fixture.loop,
                                  {RequestBytes, refusal(status, "mine") + refusal(status, "mine"),
                                   ScriptEnd::Hold});
            CHECK(fixture.ask(server.endpoint())->status == status);
            CHECK(fixture.client.connectionCount(server.endpoint()) == 0);
        }
        DYNAMIC_SECTION(status << " while the connection is idle")
        {
            CopyFixture fixture;
            soak::RawExchangePtr exchange;
            soak::RawHttpServer server(fixture.loop, [&](const soak::RawExchangePtr &request) {
                exchange = request;
                exchange->write(refusal(status, exchange->header("Id")));
            });
            CHECK(fixture.ask(server.endpoint(), "first")->status == status);
            REQUIRE(fixture.client.connectionCount(server.endpoint()) == 1);
            exchange->write(refusal(status, "first"));
            fixture.runUntil(
                    [&] { return fixture.client.connectionCount(server.endpoint()) == 0; });
        }
        DYNAMIC_SECTION(status << " in the middle of a chunked response")
        {
            CopyFixture fixture;
            ScriptedServer server(fixture.loop,
                                  {RequestBytes,
                                   "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n"
                                   "\r\n2\r\nok\r\n"
                                           + refusal(status, "earlier") + "0\r\n\r\n",
                                   ScriptEnd::Hold});
            const auto response = fixture.ask(server.endpoint());
            CHECK(response->body == "ok");
            REQUIRE(response->failure);
            CHECK(response->failure->verdict == Verdict::MayHaveRun);
        }
    }
}

TEST_CASE("A request that must not run twice uses no connection with an earlier refusal",
          "[Gateway][CopiedRefusals]")
{
    ForwardBench bench;
    bench.addServer("app-1", "app");
    bench.addServer("app-2", "app");
    const auto refuseLast = [&bench](int status) {
        bench.respond(bench.sentAttempts.size() - 1, status, {{"Not-Run", "1"}}, "");
    };

    SECTION("at its first and at its second server")
    {
        for (Route &route : bench.configuration.routes)
            route.maxAttempts = 2;
        bench.applyConfiguration();
        for (const int status : {421, 429, 503}) {
            const std::size_t first = bench.sentAttempts.size();
            bench.request("/orders/");
            refuseLast(status);
            for (std::size_t index = first; index < bench.sentAttempts.size(); ++index)
                CHECK(bench.sentAttempts[index].request.requireNewConnection);
        }
    }
    SECTION("a lost response after the refusal of another request is no refusal")
    {
        bench.request("/lookups/");
        refuseLast(503);
        const HttpCallId order = bench.request("/orders/");
        const std::size_t index = bench.sentAttempts.size() - 1;
        CHECK(bench.sentAttempts[index].request.requireNewConnection);
        bench.failAttempt(index, HttpFailureKind::ConnectionLost, Verdict::MayHaveRun);
        CHECK(bench.outcome(order).status == 502);
    }
}
