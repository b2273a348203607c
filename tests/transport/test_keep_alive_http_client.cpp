#include "transport/keep_alive_http_client.h"

#include "support/scripted_server.h"

#include <catch2/catch.hpp>
#include <functional>

using namespace dotterel;
using namespace dotterel::support;

namespace {

/// Records the response to one call or its failure.
struct ResponseRecorder : HttpResponseListener
{
    void onHead(int newStatus, const HttpHeaders &) override { this->status = newStatus; }
    void onData(std::string_view bytes) override
    {
        this->body.append(bytes);
        if (this->pausesOnData)
            this->call->pause(true);
    }
    void onComplete() override { this->complete = true; }
    void onFailed(const HttpFailure &newFailure) override { this->failure = newFailure; }
    bool done() const { return this->complete || this->failure; }

    int status = 0;
    std::string body;
    bool pausesOnData = false;
    bool complete = false;
    std::optional<HttpFailure> failure;
    std::unique_ptr<HttpCall> call;
};

struct ClientFixture
{
    void runUntil(const std::function<bool()> &condition)
    {
        const TimePoint deadline = this->loop.now() + std::chrono::seconds(5);
        while (!condition() && this->loop.now() < deadline) {
            const EventLoop::TimerHandle wakeTimer =
                    this->loop.after(std::chrono::milliseconds(20), [] {});
            this->loop.runOnce(true);
        }
        REQUIRE(condition());
    }

    std::unique_ptr<ResponseRecorder> send(const Endpoint &endpoint, bool newConnection = false,
                                           std::size_t bodyBytes = 0)
    {
        auto response = std::make_unique<ResponseRecorder>();
        HttpRequest request;
        request.endpoint = endpoint;
        request.method = "POST";
        request.target = "/a?b=%2F";
        request.headers = {{"Host", "shop"}};
        request.body = std::make_shared<const std::string>(bodyBytes, 'b');
        request.timeout = std::chrono::milliseconds(300);
        request.connectTimeout = std::chrono::milliseconds(200);
        request.requireNewConnection = newConnection;
        request.echoedHeader = {"Id", "mine"};
        response->call = this->client.send(request, *response);
        return response;
    }

    std::unique_ptr<ResponseRecorder> sendAndWait(const Endpoint &endpoint,
                                                  bool newConnection = false)
    {
        std::unique_ptr<ResponseRecorder> response = this->send(endpoint, newConnection);
        this->runUntil([&response] { return response->done(); });
        return response;
    }

    EventLoop loop;
    KeepAliveHttpClient client{this->loop, KeepAliveHttpClientLimits{}};
};

constexpr std::size_t RequestBytes = 50;

} // namespace

TEST_CASE("A response is complete only if its end is confirmed", "[Transport][KeepAliveHttpClient]")
{
    ClientFixture fixture;
    struct ResponseCase
    {
        const char *name;
        const char *bytes;
        ScriptEnd end;
        bool complete;
        const char *body;
    };
    const std::vector<ResponseCase> responseCases = {
            {"Content-Length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", ScriptEnd::Hold,
             true, "ab"},
            {"chunked encoding",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
             ScriptEnd::Hold, true, "ab"},
            {"end of the connection", "HTTP/1.1 200 OK\r\n\r\nab", ScriptEnd::Close, true, "ab"},
            {"connection reset", "HTTP/1.1 200 OK\r\n\r\nab", ScriptEnd::Reset, false, ""},
            {"body shorter than Content-Length", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab",
             ScriptEnd::Close, false, "ab"},
            {"missing last chunk",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", ScriptEnd::Close,
             false, "ab"},
            {"not HTTP", "what is this?\r\n\r\n", ScriptEnd::Close, false, ""},
            {"both Content-Length and chunked encoding",
             "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nab",
             ScriptEnd::Close, false, ""},
            {"a space before a colon", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nab",
             ScriptEnd::Close, false, ""},
            {"another transfer coding",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
             ScriptEnd::Close, false, ""},
            {"a folded line", "HTTP/1.1 200 OK\r\nX: y\r\n z\r\nContent-Length: 2\r\n\r\nab",
             ScriptEnd::Close, false, ""},
            {"no response", "", ScriptEnd::Hold, false, ""},
            {"preceded by the response to another request",
             "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 3\r\n\r\nnotHTTP/1.1 200 OK\r\nId: "
             "mine\r\nContent-Length: 2\r\n\r\nab",
             ScriptEnd::Hold, true, "ab"},
            {"preceded by an interim response",
             "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
             ScriptEnd::Hold, true, "ab"},
    };
    for (const ResponseCase &responseCase : responseCases) {
        INFO(responseCase.name);
        ScriptedServer server(fixture.loop, {RequestBytes, responseCase.bytes, responseCase.end});
        const auto response = fixture.sendAndWait(server.endpoint());
        CHECK(response->complete == responseCase.complete);
        if (responseCase.complete)
            CHECK(response->body == responseCase.body);
        else
            CHECK(response->failure->verdict == Verdict::MayHaveRun);
    }
    SECTION("a refused connection means that nothing was sent")
    {
        const auto response = fixture.sendAndWait(closedEndpoint());
        CHECK(response->failure->kind == HttpFailureKind::ConnectFailed);
        CHECK(response->failure->verdict == Verdict::NotRun);
    }
    SECTION("a connection attempt without an answer ends at the connect timeout")
    {
        FullBacklog fullBacklog;
        const auto response = fixture.sendAndWait(fullBacklog.endpoint());
        CHECK(response->failure->kind == HttpFailureKind::ConnectFailed);
        CHECK(response->failure->verdict == Verdict::NotRun);
    }
}

TEST_CASE("A connection is reused only after a clean response", "[Transport][KeepAliveHttpClient]")
{
    ClientFixture fixture;
    const std::string completeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";

    SECTION("it is reused unless the request requires a new connection")
    {
        ScriptedServer server(fixture.loop, {RequestBytes, completeResponse, ScriptEnd::Hold});
        fixture.sendAndWait(server.endpoint());
        CHECK(fixture.client.connectionCount(server.endpoint()) == 1);
        const auto responseOnNewConnection = fixture.send(server.endpoint(), true);
        CHECK(fixture.client.counts().connectionsReused == 0);
        const auto responseOnReusedConnection = fixture.send(server.endpoint());
        CHECK(fixture.client.counts().connectionsReused == 1);
    }
    SECTION("it is closed if the response asks for it or states a zero idle timeout")
    {
        for (const char *header : {"Connection: close", "Keep-Alive: timeout=0"}) {
            ScriptedServer server(fixture.loop, {RequestBytes,
                                                 std::string("HTTP/1.1 200 OK\r\n") + header
                                                         + "\r\nContent-Length: 2\r\n\r\nab",
                                                 ScriptEnd::Hold});
            fixture.sendAndWait(server.endpoint());
            CHECK(fixture.client.connectionCount(server.endpoint()) == 0);
        }
    }
    SECTION("it is closed if bytes follow the response")
    {
        ScriptedServer server(fixture.loop,
                              {RequestBytes, completeResponse + completeResponse, ScriptEnd::Hold});
        const auto response = fixture.sendAndWait(server.endpoint());
        CHECK(response->complete);
        CHECK(fixture.client.connectionCount(server.endpoint()) == 0);
    }
    SECTION("it is closed if the response arrived before the request was sent completely")
    {
        ScriptedServer server(fixture.loop, {RequestBytes, completeResponse, ScriptEnd::Hold});
        auto response = fixture.send(server.endpoint(), false, 64UL * 1024 * 1024);
        fixture.runUntil([&response] { return response->done(); });
        CHECK(response->complete);
        CHECK(fixture.client.connectionCount(server.endpoint()) == 0);
    }
    SECTION("it leaves the pool when the peer closes it, also if its response was paused")
    {
        ScriptedServer server(fixture.loop, {RequestBytes, completeResponse, ScriptEnd::Close});
        auto response = fixture.send(server.endpoint());
        response->pausesOnData = true;
        fixture.runUntil([&response] { return response->done(); });
        CHECK(response->complete);
        const TimePoint began = fixture.loop.now();
        fixture.runUntil([&] { return fixture.client.connectionCount(server.endpoint()) == 0; });
        // Well before an idle connection expires.
        CHECK(fixture.loop.now() - began < std::chrono::seconds(1));
    }
    SECTION("it leaves the pool when the peer closes it")
    {
        ScriptedServer server(fixture.loop, {RequestBytes, completeResponse, ScriptEnd::Close});
        fixture.sendAndWait(server.endpoint());
        fixture.runUntil([&] { return fixture.client.connectionCount(server.endpoint()) == 0; });
    }
}

TEST_CASE("Destroying a call closes its connection immediately", "[Transport][KeepAliveHttpClient]")
{
    ClientFixture fixture;
    ScriptedServer server(fixture.loop, {RequestBytes, "", ScriptEnd::Hold});
    auto response = fixture.send(server.endpoint());
    fixture.runUntil([&server] { return server.wholeRequests() == 1; });
    response->call.reset();
    fixture.runUntil([&server] { return server.closedByPeer() == 1; });
    CHECK_FALSE(response->done());
}

TEST_CASE("What precedes a response is read up to a limit only", "[Transport][KeepAliveHttpClient]")
{
    ClientFixture fixture;
    KeepAliveHttpClientLimits limits;
    limits.maxSkippedBytes = 1'000;
    limits.maxSkippedMessages = 10;
    std::string flood;
    SECTION("interim responses without end")
    {
        for (int count = 0; count < 20; ++count)
            flood += "HTTP/1.1 102 Processing\r\n\r\n";
    }
    SECTION("a response to another request without end")
    {
        flood = "HTTP/1.1 200 OK\r\nId: other\r\n\r\n" + std::string(2'000, 'x');
    }
    KeepAliveHttpClient client(fixture.loop, limits);
    ScriptedServer server(fixture.loop, {1, flood, ScriptEnd::Hold});
    ResponseRecorder response;
    HttpRequest request;
    request.endpoint = server.endpoint();
    request.echoedHeader = {"Id", "mine"};
    response.call = client.send(request, response);
    fixture.runUntil([&response] { return response.done(); });
    REQUIRE(response.failure);
    CHECK(response.failure->kind == HttpFailureKind::ResponseTooLarge);
    CHECK(response.failure->verdict == Verdict::MayHaveRun);
    fixture.runUntil([&server] { return server.closedByPeer() == 1; });
}

TEST_CASE("A fetch collects a body up to its limit", "[Transport][HttpFetch]")
{
    ClientFixture fixture;
    constexpr std::size_t MaxBodyBytes = 1'000;
    const auto fetchBody = [&fixture](std::size_t length) {
        ScriptedServer server(
                fixture.loop,
                {1, "HTTP/1.1 200 OK\r\n\r\n" + std::string(length, 'x'), ScriptEnd::Close});
        std::optional<HttpFailureKind> failure;
        std::optional<std::size_t> bytes;
        HttpRequest request;
        request.endpoint = server.endpoint();
        HttpFetch fetch(
                fixture.client, request,
                [&](const std::optional<HttpResponse> &response, const HttpFailure &reported) {
                    bytes = response ? response->body.size() : 0;
                    if (!response)
                        failure = reported.kind;
                },
                MaxBodyBytes);
        fixture.runUntil([&bytes] { return bytes.has_value(); });
        CHECK(bytes == (failure ? 0 : length));
        return failure;
    };
    CHECK_FALSE(fetchBody(MaxBodyBytes));
    CHECK(fetchBody(MaxBodyBytes + 1) == HttpFailureKind::ResponseTooLarge);
}

TEST_CASE("The answer to a HEAD request ends with its head", "[Transport][KeepAliveHttpClient]")
{
    ClientFixture fixture;
    const std::vector<std::string> heads = {"Content-Length: 5\r\n",
                                            "Transfer-Encoding: chunked\r\n", ""};
    for (const std::string &framing : heads) {
        CAPTURE(framing);
        ScriptedServer server(fixture.loop,
                              {1, "HTTP/1.1 200 OK\r\n" + framing + "\r\n", ScriptEnd::Hold});
        ResponseRecorder response;
        HttpRequest request;
        request.endpoint = server.endpoint();
        request.method = "HEAD";
        request.timeout = std::chrono::milliseconds(300);
        response.call = fixture.client.send(request, response);
        fixture.runUntil([&response] { return response.done(); });
        CHECK(response.complete);
        CHECK(response.status == 200);
        CHECK(response.body.empty());
    }
}
