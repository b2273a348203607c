#include "transport/keep_alive_http_server.h"

#include "support/raw_client.h"

#include <catch2/catch.hpp>
#include <functional>

using namespace dotterel;
using namespace dotterel::support;
using std::chrono::milliseconds;

namespace {

/// Records all events. Answers each request with a fixed response unless holdResponses is set.
struct Handler : HttpCallHandler
{
    void onHttpRequest(HttpCallId call, HttpMessageHead &&head,
                       std::shared_ptr<const std::string> body) override
    {
        this->lastCall = call;
        this->heads.push_back(std::move(head));
        this->bodies.push_back(*body);
        if (this->server != nullptr && !this->holdResponses)
            this->server->reply(call, 200, {{"Mark", "m"}}, "answer");
    }
    void onHttpPeerClosed(HttpCallId call) override { this->closedCalls.push_back(call); }
    void onHttpDrained(HttpCallId) override { ++this->drainedCount; }
    void onHttpRejected(int status) override { this->rejectedStatuses.push_back(status); }

    KeepAliveHttpServer *server = nullptr;
    bool holdResponses = false;
    HttpCallId lastCall = 0;
    std::vector<HttpMessageHead> heads;
    std::vector<std::string> bodies;
    std::vector<HttpCallId> closedCalls;
    std::vector<int> rejectedStatuses;
    std::size_t drainedCount = 0;
};

struct ServerFixture
{
    explicit ServerFixture(const KeepAliveHttpServerLimits &limits = limitsForTests())
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

    void runUntil(const std::function<bool()> &condition)
    {
        const TimePoint deadline = this->loop.now() + std::chrono::seconds(5);
        while (!condition() && this->loop.now() < deadline) {
            const EventLoop::TimerHandle wakeTimer = this->loop.after(milliseconds(20), [] {});
            this->loop.runOnce(true);
        }
        REQUIRE(condition());
    }

    static bool hasReceived(const RawClient &client, const std::string &text)
    {
        return client.received().find(text) != std::string::npos;
    }

    EventLoop loop;
    Handler handler;
    KeepAliveHttpServer server;
};

const std::string PostRequestHead = "POST /a%20b?c=d HTTP/1.1\r\nHost: shop\r\n";

} // namespace

TEST_CASE("Requests are passed on unchanged or rejected", "[Transport][KeepAliveHttpServer]")
{
    ServerFixture fixture;
    RawClient client(fixture.loop, fixture.server.endpoint());

    SECTION("a request with a length that arrives byte by byte")
    {
        for (const char byte : PostRequestHead + "Content-Length: 3\r\n\r\nabc")
            client.send(std::string(1, byte));
        fixture.runUntil([&] { return ServerFixture::hasReceived(client, "answer"); });
        CHECK(fixture.handler.heads[0].target == "/a%20b?c=d");
        CHECK(fixture.handler.bodies[0] == "abc");
    }
    SECTION("a chunked request and a pipelined second one")
    {
        client.send(PostRequestHead
                    + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n2\r\nbc\r\n0\r\n\r\n"
                    + PostRequestHead + "Content-Length: 1\r\n\r\nz");
        fixture.runUntil([&] { return fixture.handler.bodies.size() == 2; });
        CHECK(fixture.handler.bodies[0] == "abc");
        CHECK(fixture.handler.bodies[1] == "z");
    }
    SECTION("a request with two body lengths is rejected against request smuggling")
    {
        client.send(PostRequestHead
                    + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
        fixture.runUntil([&] { return client.closedByPeer(); });
        CHECK(fixture.handler.heads.empty());
        CHECK(fixture.handler.rejectedStatuses == std::vector<int>{400});
    }
    SECTION("a request that another reader may frame differently is rejected")
    {
        const std::string fields = GENERATE(
                as<std::string>(), "X-Workspace : other\r\n", "X-Workspace\t: other\r\n",
                "Content-Length : 5\r\n", "Transfer-Encoding : chunked\r\n",
                "Transfer-Encoding: identity, chunked\r\n", "Transfer-Encoding: identity\r\n",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "X-A: b\r\n c\r\n",
                "X-A: b\r\n\tc\r\n", ": b\r\n", "X\x01: b\r\n", "X-(A): b\r\n");
        CAPTURE(fields);
        const bool byteByByte = GENERATE(false, true);
        const std::string request = PostRequestHead + fields + "\r\n0\r\n\r\n";
        if (byteByByte) {
            for (const char byte : request)
                client.send(std::string(1, byte));
        } else {
            client.send(request);
        }
        fixture.runUntil([&] { return client.closedByPeer(); });
        CHECK(fixture.handler.heads.empty());
        CHECK(fixture.handler.rejectedStatuses == std::vector<int>{400});
    }
    SECTION("unusual heads that all readers agree on are taken")
    {
        client.send("\r\n" + PostRequestHead
                    + "X!#$%&'*+-.^_`|~9: a b\t c \r\nTransfer-Encoding: Chunked \r\n\r\n3\r\na\n "
                      "\r\n0\r\n\r\n"
                    + PostRequestHead + "Content-Length: 3\r\n\r\n\n b");
        fixture.runUntil([&] { return fixture.handler.bodies.size() == 2; });
        CHECK(fixture.handler.bodies[0] == "a\n ");
        CHECK(fixture.handler.bodies[1] == "\n b");
    }
    SECTION("a request over a limit is rejected")
    {
        SECTION("body size")
        {
            client.send(PostRequestHead + "Content-Length: 1001\r\n\r\n");
            fixture.runUntil([&] { return ServerFixture::hasReceived(client, "413"); });
        }
        SECTION("chunked body size")
        {
            client.send(PostRequestHead + "Transfer-Encoding: chunked\r\n\r\n3e9\r\n"
                        + std::string(1'001, 'x'));
            fixture.runUntil([&] { return ServerFixture::hasReceived(client, "413"); });
        }
        SECTION("head size")
        {
            client.send(PostRequestHead + "X: " + std::string(1'100, 'x'));
            fixture.runUntil([&] { return ServerFixture::hasReceived(client, "431"); });
        }
        SECTION("head timeout")
        {
            client.send(PostRequestHead);
            fixture.runUntil([&] { return ServerFixture::hasReceived(client, "408"); });
        }
        fixture.runUntil([&] { return client.closedByPeer(); });
        CHECK(fixture.handler.heads.empty());
    }
    SECTION("an idle connection is closed after the idle timeout")
    {
        client.send(PostRequestHead + "Content-Length: 0\r\n\r\n");
        fixture.runUntil([&] { return ServerFixture::hasReceived(client, "answer"); });
        fixture.runUntil([&] { return client.closedByPeer(); });
    }
}

TEST_CASE("A response appears complete only if it is", "[Transport][KeepAliveHttpServer]")
{
    ServerFixture fixture;
    fixture.handler.holdResponses = true;
    RawClient client(fixture.loop, fixture.server.endpoint());
    client.send(PostRequestHead + "Content-Length: 0\r\n\r\n");
    fixture.runUntil([&] { return fixture.handler.lastCall != 0; });
    const HttpCallId call = fixture.handler.lastCall;

    SECTION("a streamed response ends with the last chunk")
    {
        fixture.server.startReply(call, 200, {{"Mark", "m"}}, std::nullopt);
        fixture.server.sendBodyPart(call, "ab");
        fixture.runUntil([&] { return ServerFixture::hasReceived(client, "2\r\nab\r\n"); });
        fixture.server.endReply(call);
        fixture.runUntil([&] { return ServerFixture::hasReceived(client, "0\r\n\r\n"); });
        CHECK_FALSE(client.closedByPeer());
    }
    SECTION("an aborted streamed response has no last chunk")
    {
        fixture.server.startReply(call, 200, {}, std::nullopt);
        fixture.server.sendBodyPart(call, "ab");
        fixture.runUntil([&] { return ServerFixture::hasReceived(client, "ab"); });
        fixture.server.abortReply(call);
        fixture.runUntil([&] { return client.closedByPeer(); });
        CHECK_FALSE(ServerFixture::hasReceived(client, "0\r\n\r\n"));
    }
    SECTION("the handler is notified once that the peer closed the connection")
    {
        client.close();
        fixture.runUntil([&] { return !fixture.handler.closedCalls.empty(); });
        CHECK(fixture.handler.closedCalls == std::vector<HttpCallId>{call});
        fixture.server.reply(call, 200, {}, "too late");
    }
    SECTION("a response that started before a shutdown still closes its connection")
    {
        fixture.server.startReply(call, 200, {}, std::nullopt);
        fixture.server.closeAfterReplies();
        fixture.server.endReply(call);
        fixture.runUntil([&] { return client.closedByPeer(); });
        CHECK(ServerFixture::hasReceived(client, "0\r\n\r\n"));
    }
    SECTION("idle connections are closed, and a request that arrives meanwhile is not processed")
    {
        RawClient idleClient(fixture.loop, fixture.server.endpoint());
        fixture.runUntil([&] { return fixture.server.connectionCount() == 2; });
        fixture.server.closeIdleConnections();
        idleClient.send(PostRequestHead + "Content-Length: 0\r\n\r\n");
        fixture.runUntil([&] { return fixture.server.connectionCount() == 1; });
        CHECK(fixture.handler.heads.size() == 1);
        fixture.server.reply(call, 200, {}, "answer");
        fixture.runUntil([&] { return ServerFixture::hasReceived(client, "answer"); });
    }
    SECTION("during a shutdown responses ask to close, and the server is idle once all are sent")
    {
        fixture.server.closeAfterReplies();
        CHECK_FALSE(fixture.server.isIdle());
        fixture.server.reply(call, 200, {}, "answer");
        fixture.runUntil([&] { return client.closedByPeer(); });
        CHECK(ServerFixture::hasReceived(client, "Connection: close"));
        fixture.runUntil([&] { return fixture.server.isIdle(); });
    }
}

TEST_CASE("Requests over the server-wide limits get status 503", "[Transport][KeepAliveHttpServer]")
{
    KeepAliveHttpServerLimits limits = ServerFixture::limitsForTests();
    limits.maxConnections = 2;
    limits.maxBufferedBytes = 1'500;
    ServerFixture fixture(limits);
    fixture.handler.holdResponses = true;
    RawClient first(fixture.loop, fixture.server.endpoint());
    first.send(PostRequestHead + "Content-Length: 1000\r\n\r\n" + std::string(1'000, 'x'));
    fixture.runUntil([&] { return fixture.handler.lastCall != 0; });

    SECTION("a body over the total buffer limit")
    {
        RawClient second(fixture.loop, fixture.server.endpoint());
        second.send(PostRequestHead + "Content-Length: 600\r\n\r\n");
        fixture.runUntil([&] { return ServerFixture::hasReceived(second, "503"); });
        CHECK(ServerFixture::hasReceived(second, "Retry-After"));
    }
    SECTION("a connection over the connection limit")
    {
        RawClient second(fixture.loop, fixture.server.endpoint());
        fixture.runUntil([&] { return fixture.server.connectionCount() == 2; });
        RawClient third(fixture.loop, fixture.server.endpoint());
        fixture.runUntil([&] { return ServerFixture::hasReceived(third, "503"); });
    }
    SECTION("buffer space is released after the response")
    {
        fixture.server.reply(fixture.handler.lastCall, 200, {}, "");
        RawClient second(fixture.loop, fixture.server.endpoint());
        second.send(PostRequestHead + "Content-Length: 600\r\n\r\n" + std::string(600, 'x'));
        fixture.runUntil([&] { return fixture.handler.bodies.size() == 2; });
    }
}

// Guards against bytes behind an answer that ends with its head: a caller takes them for the next.
TEST_CASE("A response with status 204 was followed by a last chunk",
          "[Transport][KeepAliveHttpServer]")
{
    ServerFixture fixture;
    fixture.handler.holdResponses = true;
    RawClient client(fixture.loop, fixture.server.endpoint());
    const int status = GENERATE(204, 304);
    const bool hasBody = GENERATE(false, true);
    CAPTURE(status, hasBody);
    client.send("GET /a HTTP/1.1\r\nHost: shop\r\n\r\n");
    fixture.runUntil([&] { return fixture.handler.heads.size() == 1; });
    SECTION("in parts")
    {
        fixture.server.startReply(fixture.handler.lastCall, status, {}, std::nullopt);
        if (hasBody)
            fixture.server.sendBodyPart(fixture.handler.lastCall, "no body");
        fixture.server.endReply(fixture.handler.lastCall);
    }
    SECTION("as a whole")
    {
        fixture.server.reply(fixture.handler.lastCall, status, {}, hasBody ? "no body" : "");
    }
    fixture.handler.holdResponses = false;
    client.send("GET /b HTTP/1.1\r\nHost: shop\r\n\r\n");
    fixture.runUntil([&] { return ServerFixture::hasReceived(client, "answer"); });
    const std::string head = "HTTP/1.1 " + std::to_string(status) + " Status\r\n\r\n";
    CHECK(client.received().substr(0, head.size() + 12) == head + "HTTP/1.1 200");
}

// Guards against uploads that hold up to twice the memory that is counted.
TEST_CASE("A chunked body counted for less than it held", "[Transport][KeepAliveHttpServer]")
{
    KeepAliveHttpServerLimits limits;
    limits.maxBodyBytes = 1'000'000;
    limits.maxBufferedBytes = 100'000;
    ServerFixture fixture(limits);
    RawClient client(fixture.loop, fixture.server.endpoint());
    // Grows beyond 64 KiB, so that the buffer has room for 128 KiB.
    const std::string body(70'000, 'b');

    SECTION("it is refused beyond the limit, and its memory is free again")
    {
        client.send(PostRequestHead + "Transfer-Encoding: chunked\r\n\r\n11170\r\n" + body);
        fixture.runUntil([&] { return ServerFixture::hasReceived(client, "503"); });
        RawClient next(fixture.loop, fixture.server.endpoint());
        next.send(PostRequestHead + "Content-Length: 70000\r\n\r\n" + body);
        fixture.runUntil([&] { return ServerFixture::hasReceived(next, "answer"); });
    }
    SECTION("one with a length holds that length")
    {
        client.send(PostRequestHead + "Content-Length: 70000\r\n\r\n" + body);
        fixture.runUntil([&] { return ServerFixture::hasReceived(client, "answer"); });
    }
}
