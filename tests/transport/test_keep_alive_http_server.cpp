#include "transport/keep_alive_http_server.h"

#include "support/raw_client.h"

#include <catch2/catch.hpp>
#include <functional>

using namespace dotterel;
using namespace dotterel::support;
using std::chrono::milliseconds;

namespace {

/// Answers each request with what a test sets, or leaves it open.
struct Handler : HttpCallHandler
{
    void onHttpRequest(HttpCallId call, HttpMessageHead &&head,
                       std::shared_ptr<const std::string> body) override
    {
        this->last = call;
        this->heads.push_back(std::move(head));
        this->bodies.push_back(*body);
        if (this->server != nullptr && !this->holds)
            this->server->reply(call, 200, {{"Mark", "m"}}, "answer");
    }
    void onHttpPeerClosed(HttpCallId call) override { this->gone.push_back(call); }
    void onHttpDrained(HttpCallId) override { ++this->drained; }
    void onHttpRejected(int status) override { this->rejected.push_back(status); }

    KeepAliveHttpServer *server = nullptr;
    bool holds = false;
    HttpCallId last = 0;
    std::vector<HttpMessageHead> heads;
    std::vector<std::string> bodies;
    std::vector<HttpCallId> gone;
    std::vector<int> rejected;
    std::size_t drained = 0;
};

struct Bench
{
    explicit Bench(const KeepAliveHttpServerLimits &limits = limitsForTests())
        : server(this->loop, {"127.0.0.1", 0}, limits, this->handler)
    {
        this->handler.server = &this->server;
    }

    static KeepAliveHttpServerLimits limitsForTests()
    {
        KeepAliveHttpServerLimits limits;
        limits.maxHeadBytes = 1'000;
        limits.maxBodyBytes = 1'000;
        limits.headTimeout = milliseconds(300);
        limits.idleTimeout = milliseconds(300);
        return limits;
    }

    void until(const std::function<bool()> &condition)
    {
        const TimePoint limit = this->loop.now() + std::chrono::seconds(5);
        while (!condition() && this->loop.now() < limit) {
            const EventLoop::TimerHandle wake = this->loop.after(milliseconds(20), [] {});
            this->loop.runOnce(true);
        }
        REQUIRE(condition());
    }

    static bool has(const RawClient &client, const std::string &text)
    {
        return client.received().find(text) != std::string::npos;
    }

    EventLoop loop;
    Handler handler;
    KeepAliveHttpServer server;
};

const std::string Post = "POST /a%20b?c=d HTTP/1.1\r\nHost: shop\r\n";

} // namespace

TEST_CASE("Requests arrive byte for byte", "[Transport][KeepAliveHttpServer]")
{
    Bench bench;
    RawClient client(bench.loop, bench.server.endpoint());

    SECTION("with a length, in pieces")
    {
        for (const char byte : Post + "Content-Length: 3\r\n\r\nabc")
            client.send(std::string(1, byte));
        bench.until([&] { return Bench::has(client, "answer"); });
        CHECK(bench.handler.heads[0].target == "/a%20b?c=d");
        CHECK(bench.handler.bodies[0] == "abc");
    }
    SECTION("in chunks, and several on one connection")
    {
        client.send(Post + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n2\r\nbc\r\n0\r\n\r\n" + Post
                    + "Content-Length: 1\r\n\r\nz");
        bench.until([&] { return bench.handler.bodies.size() == 2; });
        CHECK(bench.handler.bodies[0] == "abc");
        CHECK(bench.handler.bodies[1] == "z");
    }
    SECTION("not if two lengths could hide a request in another")
    {
        client.send(Post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
        bench.until([&] { return client.closedByPeer(); });
        CHECK(bench.handler.heads.empty());
        CHECK(bench.handler.rejected == std::vector<int>{400});
    }
    SECTION("not beyond the limits")
    {
        SECTION("of a body")
        {
            client.send(Post + "Content-Length: 1001\r\n\r\n");
            bench.until([&] { return Bench::has(client, "413"); });
        }
        SECTION("of a body in chunks")
        {
            client.send(Post + "Transfer-Encoding: chunked\r\n\r\n3e9\r\n"
                        + std::string(1'001, 'x'));
            bench.until([&] { return Bench::has(client, "413"); });
        }
        SECTION("of a head")
        {
            client.send(Post + "X: " + std::string(1'100, 'x'));
            bench.until([&] { return Bench::has(client, "431"); });
        }
        SECTION("of the time for a head")
        {
            client.send(Post);
            bench.until([&] { return Bench::has(client, "408"); });
        }
        bench.until([&] { return client.closedByPeer(); });
        CHECK(bench.handler.heads.empty());
    }
    SECTION("an idle connection is closed after its time")
    {
        client.send(Post + "Content-Length: 0\r\n\r\n");
        bench.until([&] { return Bench::has(client, "answer"); });
        bench.until([&] { return client.closedByPeer(); });
    }
}

TEST_CASE("Answers look whole only if they are", "[Transport][KeepAliveHttpServer]")
{
    Bench bench;
    bench.handler.holds = true;
    RawClient client(bench.loop, bench.server.endpoint());
    client.send(Post + "Content-Length: 0\r\n\r\n");
    bench.until([&] { return bench.handler.last != 0; });
    const HttpCallId call = bench.handler.last;

    SECTION("a stream ends with its last chunk")
    {
        bench.server.startReply(call, 200, {{"Mark", "m"}}, std::nullopt);
        bench.server.sendBodyPart(call, "ab");
        bench.until([&] { return Bench::has(client, "2\r\nab\r\n"); });
        bench.server.endReply(call);
        bench.until([&] { return Bench::has(client, "0\r\n\r\n"); });
        CHECK_FALSE(client.closedByPeer());
    }
    SECTION("a stream that is broken off does not")
    {
        bench.server.startReply(call, 200, {}, std::nullopt);
        bench.server.sendBodyPart(call, "ab");
        bench.until([&] { return Bench::has(client, "ab"); });
        bench.server.abortReply(call);
        bench.until([&] { return client.closedByPeer(); });
        CHECK_FALSE(Bench::has(client, "0\r\n\r\n"));
    }
    SECTION("the handler hears that the peer has left, once")
    {
        client.close();
        bench.until([&] { return !bench.handler.gone.empty(); });
        CHECK(bench.handler.gone == std::vector<HttpCallId>{call});
        bench.server.reply(call, 200, {}, "too late");
    }
    SECTION("an answer that began before a shutdown ends its connection all the same")
    {
        bench.server.startReply(call, 200, {}, std::nullopt);
        bench.server.closeAfterReplies();
        bench.server.endReply(call);
        bench.until([&] { return client.closedByPeer(); });
        CHECK(Bench::has(client, "0\r\n\r\n"));
    }
    SECTION("idle connections are ended, and a request that crosses the end is never taken")
    {
        RawClient idle(bench.loop, bench.server.endpoint());
        bench.until([&] { return bench.server.connectionCount() == 2; });
        bench.server.closeIdleConnections();
        idle.send(Post + "Content-Length: 0\r\n\r\n");
        bench.until([&] { return bench.server.connectionCount() == 1; });
        CHECK(bench.handler.heads.size() == 1);
        bench.server.reply(call, 200, {}, "answer");
        bench.until([&] { return Bench::has(client, "answer"); });
    }
    SECTION("a host that shuts down asks to close, and is idle when all has left")
    {
        bench.server.closeAfterReplies();
        CHECK_FALSE(bench.server.isIdle());
        bench.server.reply(call, 200, {}, "answer");
        bench.until([&] { return client.closedByPeer(); });
        CHECK(Bench::has(client, "Connection: close"));
        bench.until([&] { return bench.server.isIdle(); });
    }
}

TEST_CASE("What does not fit is refused clearly", "[Transport][KeepAliveHttpServer]")
{
    KeepAliveHttpServerLimits limits = Bench::limitsForTests();
    limits.maxConnections = 2;
    limits.maxBufferedBytes = 1'500;
    Bench bench(limits);
    bench.handler.holds = true;
    RawClient first(bench.loop, bench.server.endpoint());
    first.send(Post + "Content-Length: 1000\r\n\r\n" + std::string(1'000, 'x'));
    bench.until([&] { return bench.handler.last != 0; });

    SECTION("a body beyond the memory of all requests")
    {
        RawClient second(bench.loop, bench.server.endpoint());
        second.send(Post + "Content-Length: 600\r\n\r\n");
        bench.until([&] { return Bench::has(second, "503"); });
        CHECK(Bench::has(second, "Retry-After"));
    }
    SECTION("a connection beyond the limit")
    {
        RawClient second(bench.loop, bench.server.endpoint());
        bench.until([&] { return bench.server.connectionCount() == 2; });
        RawClient third(bench.loop, bench.server.endpoint());
        bench.until([&] { return Bench::has(third, "503"); });
    }
    SECTION("and memory is free again after the answer")
    {
        bench.server.reply(bench.handler.last, 200, {}, "");
        RawClient second(bench.loop, bench.server.endpoint());
        second.send(Post + "Content-Length: 600\r\n\r\n" + std::string(600, 'x'));
        bench.until([&] { return bench.handler.bodies.size() == 2; });
    }
}
