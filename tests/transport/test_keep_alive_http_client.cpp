#include "transport/keep_alive_http_client.h"

#include "support/scripted_server.h"

#include <catch2/catch.hpp>
#include <functional>

using namespace dotterel;
using namespace dotterel::support;

namespace {

/// Keeps what becomes of one call.
struct Answer : HttpResponseListener
{
    void onHead(int newStatus, const HttpHeaders &) override { this->status = newStatus; }
    void onData(std::string_view bytes) override { this->body.append(bytes); }
    void onComplete() override { this->whole = true; }
    void onFailed(const HttpFailure &problem) override { this->failure = problem; }
    bool done() const { return this->whole || this->failure; }

    int status = 0;
    std::string body;
    bool whole = false;
    std::optional<HttpFailure> failure;
    std::unique_ptr<HttpCall> call;
};

struct Bench
{
    void until(const std::function<bool()> &condition)
    {
        const TimePoint limit = this->loop.now() + std::chrono::seconds(5);
        while (!condition() && this->loop.now() < limit) {
            const EventLoop::TimerHandle wake =
                    this->loop.after(std::chrono::milliseconds(20), [] {});
            this->loop.runOnce(true);
        }
        REQUIRE(condition());
    }

    std::unique_ptr<Answer> send(const Endpoint &endpoint, bool fresh = false,
                                 std::size_t bodyBytes = 0)
    {
        auto answer = std::make_unique<Answer>();
        HttpRequest request;
        request.endpoint = endpoint;
        request.method = "POST";
        request.target = "/a?b=%2F";
        request.headers = {{"Host", "shop"}};
        request.body = std::make_shared<const std::string>(bodyBytes, 'b');
        request.timeout = std::chrono::milliseconds(300);
        request.connectTimeout = std::chrono::milliseconds(200);
        request.requireNewConnection = fresh;
        request.echoedHeader = {"Id", "mine"};
        answer->call = this->client.send(request, *answer);
        return answer;
    }

    std::unique_ptr<Answer> run(const Endpoint &endpoint, bool fresh = false)
    {
        std::unique_ptr<Answer> answer = this->send(endpoint, fresh);
        this->until([&answer] { return answer->done(); });
        return answer;
    }

    EventLoop loop;
    KeepAliveHttpClient client{this->loop, KeepAliveHttpClientLimits{}};
};

constexpr std::size_t RequestBytes = 50;

} // namespace

TEST_CASE("An answer is whole only if it shows", "[Transport][KeepAliveHttpClient]")
{
    Bench bench;
    struct Row
    {
        const char *name;
        const char *bytes;
        ScriptEnd end;
        bool whole;
        const char *body;
    };
    const std::vector<Row> rows = {
            {"a length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", ScriptEnd::Hold, true,
             "ab"},
            {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
             ScriptEnd::Hold, true, "ab"},
            {"an orderly end", "HTTP/1.1 200 OK\r\n\r\nab", ScriptEnd::Close, true, "ab"},
            {"a reset instead of an end", "HTTP/1.1 200 OK\r\n\r\nab", ScriptEnd::Reset, false, ""},
            {"too little of a length", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab",
             ScriptEnd::Close, false, "ab"},
            {"no last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
             ScriptEnd::Close, false, "ab"},
            {"no answer in the protocol", "what is this?\r\n\r\n", ScriptEnd::Close, false, ""},
            {"a length and chunks",
             "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nab",
             ScriptEnd::Close, false, ""},
            {"silence", "", ScriptEnd::Hold, false, ""},
            {"the answer to another request first",
             "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 3\r\n\r\nnotHTTP/1.1 200 OK\r\nId: "
             "mine\r\nContent-Length: 2\r\n\r\nab",
             ScriptEnd::Hold, true, "ab"},
            {"an interim answer first",
             "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
             ScriptEnd::Hold, true, "ab"},
    };
    for (const Row &row : rows) {
        INFO(row.name);
        ScriptedServer server(bench.loop, {RequestBytes, row.bytes, row.end});
        const auto answer = bench.run(server.endpoint());
        CHECK(answer->whole == row.whole);
        if (row.whole)
            CHECK(answer->body == row.body);
        else
            CHECK(answer->failure->verdict == Verdict::MayHaveRun);
    }
    SECTION("without a connection nothing has left")
    {
        const auto answer = bench.run(closedEndpoint());
        CHECK(answer->failure->kind == HttpFailureKind::ConnectFailed);
        CHECK(answer->failure->verdict == Verdict::NotRun);
    }
    SECTION("a connection that is not answered is given up in time")
    {
        FullBacklog full;
        const auto answer = bench.run(full.endpoint());
        CHECK(answer->failure->kind == HttpFailureKind::ConnectFailed);
        CHECK(answer->failure->verdict == Verdict::NotRun);
    }
}

TEST_CASE("A connection is used again only if nothing speaks against it",
          "[Transport][KeepAliveHttpClient]")
{
    Bench bench;
    const std::string good = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";

    SECTION("after a clean answer it is kept, unless the request wants a fresh one")
    {
        ScriptedServer server(bench.loop, {RequestBytes, good, ScriptEnd::Hold});
        bench.run(server.endpoint());
        CHECK(bench.client.connectionCount(server.endpoint()) == 1);
        const auto fresh = bench.send(server.endpoint(), true);
        CHECK(bench.client.counts().connectionsReused == 0);
        const auto kept = bench.send(server.endpoint());
        CHECK(bench.client.counts().connectionsReused == 1);
    }
    SECTION("not when it asks to close, or states no idle time that is left")
    {
        for (const char *header : {"Connection: close", "Keep-Alive: timeout=0"}) {
            ScriptedServer server(bench.loop, {RequestBytes,
                                               std::string("HTTP/1.1 200 OK\r\n") + header
                                                       + "\r\nContent-Length: 2\r\n\r\nab",
                                               ScriptEnd::Hold});
            bench.run(server.endpoint());
            CHECK(bench.client.connectionCount(server.endpoint()) == 0);
        }
    }
    SECTION("not with bytes after the answer")
    {
        ScriptedServer server(bench.loop, {RequestBytes, good + good, ScriptEnd::Hold});
        const auto answer = bench.run(server.endpoint());
        CHECK(answer->whole);
        CHECK(bench.client.connectionCount(server.endpoint()) == 0);
    }
    SECTION("not when the answer came before the request had left")
    {
        ScriptedServer server(bench.loop, {RequestBytes, good, ScriptEnd::Hold});
        auto answer = bench.send(server.endpoint(), false, 64UL * 1024 * 1024);
        bench.until([&answer] { return answer->done(); });
        CHECK(answer->whole);
        CHECK(bench.client.connectionCount(server.endpoint()) == 0);
    }
    SECTION("and is dropped when its peer closes it")
    {
        ScriptedServer server(bench.loop, {RequestBytes, good, ScriptEnd::Close});
        bench.run(server.endpoint());
        bench.until([&] { return bench.client.connectionCount(server.endpoint()) == 0; });
    }
}

TEST_CASE("A call that is dropped closes its connection at once",
          "[Transport][KeepAliveHttpClient]")
{
    Bench bench;
    ScriptedServer server(bench.loop, {RequestBytes, "", ScriptEnd::Hold});
    auto answer = bench.send(server.endpoint());
    bench.until([&server] { return server.wholeRequests() == 1; });
    answer->call.reset();
    bench.until([&server] { return server.closedByPeer() == 1; });
    CHECK_FALSE(answer->done());
}
