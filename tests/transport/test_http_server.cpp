#include "transport/http_server.h"

#include "support/raw_client.h"
#include "transport/http_client.h"

#include <catch2/catch.hpp>

using namespace dotterel;
using namespace dotterel::support;

namespace {

constexpr std::size_t MaxBodyBytes = 1'000;
constexpr Duration IdleTimeout = std::chrono::milliseconds(150);
const std::string GetRequest = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

struct ServerFixture
{
    bool runUntil(const std::function<bool()> &condition,
                  Duration timeout = std::chrono::seconds(5))
    {
        const TimePoint deadline = this->loop.now() + timeout;
        while (!condition() && this->loop.now() < deadline) {
            const EventLoop::TimerHandle wakeTimer =
                    this->loop.after(std::chrono::milliseconds(20), [] {});
            this->loop.runOnce(true);
        }
        return condition();
    }

    EventLoop loop;
    HttpExchangePtr lastExchange;
    std::size_t requestCount = 0;
    std::size_t closedCount = 0;
    HttpServer server{this->loop, Endpoint{}, MaxBodyBytes,
                      [this](const HttpExchangePtr &exchange) {
                          this->lastExchange = exchange;
                          ++this->requestCount;
                          exchange->onClosed([this] { ++this->closedCount; });
                      },
                      IdleTimeout};
};

} // namespace

TEST_CASE("An HTTP server responds to a request or closes the connection",
          "[Transport][HttpServer]")
{
    ServerFixture fixture;
    RawClient client(fixture.loop, fixture.server.endpoint());
    client.send(GetRequest);
    REQUIRE(fixture.runUntil([&] { return fixture.requestCount == 1; }));

    SECTION("a client close before the response starts is detected")
    {
        client.close();
        CHECK(fixture.runUntil([&] { return fixture.closedCount == 1; }));
        fixture.lastExchange->reply(200, {}, "late");
        CHECK(fixture.runUntil([&] { return fixture.server.isIdle(); }));
    }
    SECTION("a client close during the response is detected")
    {
        fixture.lastExchange->startReply(200, {});
        fixture.lastExchange->sendChunk("one");
        REQUIRE(fixture.runUntil(
                [&] { return client.received().find("one") != std::string::npos; }));
        client.close();
        CHECK(fixture.runUntil([&] { return fixture.closedCount == 1; }));
        fixture.lastExchange->sendChunk("late");
        fixture.lastExchange->endReply();
        CHECK(fixture.runUntil([&] { return fixture.server.isIdle(); }));
    }
    SECTION("pipelined requests are answered in order")
    {
        client.send(GetRequest + GetRequest);
        fixture.runUntil([&] { return fixture.server.receivedBytes() == 3 * GetRequest.size(); });
        CHECK(fixture.requestCount == 1);
        for (std::size_t index = 1; index <= 3; ++index) {
            fixture.lastExchange->reply(200, {}, "response-" + std::to_string(index));
            CHECK(fixture.runUntil(
                    [&] { return index == 3 || fixture.requestCount == index + 1; }));
        }
        CHECK(fixture.runUntil(
                [&] { return client.received().find("response-3") != std::string::npos; }));
    }
    SECTION("releasing an exchange without a response sends status 500")
    {
        fixture.lastExchange.reset();
        CHECK(fixture.runUntil(
                [&] { return client.received().find(" 500 ") != std::string::npos; }));
    }
    SECTION("releasing an exchange during a response closes it without the last chunk")
    {
        fixture.lastExchange->startReply(200, {});
        fixture.lastExchange->sendChunk("one");
        fixture.lastExchange.reset();
        REQUIRE(fixture.runUntil([&] { return client.closedByPeer(); }));
        CHECK(client.received().find("0\r\n\r\n") == std::string::npos);
    }
    SECTION("a long response is sent completely once a slow client resumes reading")
    {
        const std::string block(1'000'000, 'x');
        bool drained = false;
        client.pause();
        fixture.lastExchange->onDrained([&drained] { drained = true; });
        fixture.lastExchange->startReply(200, {});
        for (int i = 0; i < 20; ++i)
            fixture.lastExchange->sendChunk(block);
        CHECK_FALSE(fixture.runUntil([&] { return drained; }, 2 * IdleTimeout));
        CHECK(fixture.lastExchange->unsentBytes() > block.size());
        fixture.lastExchange->endReply();
        CHECK_FALSE(fixture.server.isIdle());
        client.resume();
        CHECK(fixture.runUntil([&] { return fixture.server.isIdle(); }));
        CHECK(fixture.runUntil([&] { return client.received().size() > 20 * block.size(); }));
        CHECK(client.received().compare(client.received().size() - 5, 5, "0\r\n\r\n") == 0);
    }
    SECTION("a response may take longer than the idle timeout")
    {
        CHECK_FALSE(fixture.runUntil([&] { return fixture.closedCount > 0; }, 2 * IdleTimeout));
        fixture.lastExchange->reply(200, {}, "at last");
        CHECK(fixture.runUntil([&] { return client.closedByPeer(); }));
        CHECK(client.received().find("at last") != std::string::npos);
    }
    SECTION("after closeAfterReplies() a response closes its connection")
    {
        fixture.server.closeAfterReplies();
        fixture.lastExchange->reply(200, {}, "bye");
        CHECK(fixture.runUntil([&] { return client.closedByPeer(); }));
        CHECK(client.received().find("Connection: close") != std::string::npos);
        CHECK(fixture.server.isIdle());
    }
    SECTION("a line break in a header value cannot inject another header")
    {
        fixture.lastExchange->reply(200, {{"Content-Type", "a\r\nX-Smuggled: 1"}}, "body");
        CHECK(fixture.runUntil(
                [&] { return client.received().find("body") != std::string::npos; }));
        CHECK(client.received().find("X-Smuggled") == std::string::npos);
    }
}

TEST_CASE("An HTTP server handles malformed and unusual requests", "[Transport][HttpServer]")
{
    struct InputCase
    {
        const char *name;
        std::string request;
        const char *expectedStatus;
    };
    const std::vector<InputCase> inputCases = {
            {"no HTTP request", "nonsense\r\n\r\n", "400"},
            {"negative length", "POST / HTTP/1.1\r\nContent-Length: -5\r\n\r\n", "400"},
            {"non-numeric length", "POST / HTTP/1.1\r\nContent-Length: 5x\r\n\r\n", "400"},
            {"body over the limit",
             "POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n" + std::string(5'000, 'x'), "413"},
            {"chunks over the limit",
             "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1000\r\n"
                     + std::string(4'096, 'x'),
             "413"},
            {"head over the limit", "GET / HTTP/1.1\r\nX: " + std::string(100'000, 'x'), "400"},
            {"non-ASCII bytes in a header", "GET / HTTP/1.1\r\nX-Workspace: \x01\xff\xfe\r\n\r\n",
             "200"},
            {"unknown method", "BREW / HTTP/1.1\r\n\r\n", "501"},
    };
    ServerFixture fixture;
    for (const InputCase &inputCase : inputCases) {
        DYNAMIC_SECTION(inputCase.name)
        {
            RawClient client(fixture.loop, fixture.server.endpoint());
            client.send(inputCase.request);
            fixture.runUntil([&] { return fixture.requestCount == 1 || client.closedByPeer(); });
            if (fixture.lastExchange != nullptr)
                fixture.lastExchange->reply(200, {}, "");
            fixture.runUntil([&] { return !client.received().empty() || client.closedByPeer(); });
            CHECK(client.received().substr(0, 12)
                  == std::string("HTTP/1.1 ") + inputCase.expectedStatus);
        }
    }
}
