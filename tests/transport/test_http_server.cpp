#include "transport/http_server.h"

#include "support/raw_client.h"
#include "transport/http_client.h"

#include <catch2/catch.hpp>

using namespace dotterel;
using namespace dotterel::support;

namespace {

constexpr std::size_t MostBodyBytes = 1'000;
constexpr Duration IdleTimeout = std::chrono::milliseconds(150);
const std::string Ask = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

struct Bench
{
    bool until(const std::function<bool()> &condition, Duration time = std::chrono::seconds(5))
    {
        const TimePoint limit = this->loop.now() + time;
        while (!condition() && this->loop.now() < limit) {
            const EventLoop::TimerHandle wake =
                    this->loop.after(std::chrono::milliseconds(20), [] {});
            this->loop.runOnce(true);
        }
        return condition();
    }

    EventLoop loop;
    HttpExchangePtr last;
    std::size_t handled = 0;
    std::size_t closed = 0;
    HttpServer server{this->loop, Endpoint{}, MostBodyBytes,
                      [this](const HttpExchangePtr &exchange) {
                          this->last = exchange;
                          ++this->handled;
                          exchange->onClosed([this] { ++this->closed; });
                      },
                      IdleTimeout};
};

} // namespace

TEST_CASE("An HTTP server answers or closes", "[Transport][HttpServer]")
{
    Bench bench;
    RawClient client(bench.loop, bench.server.endpoint());
    client.send(Ask);
    REQUIRE(bench.until([&] { return bench.handled == 1; }));

    SECTION("a caller that closes before the answer began is noticed")
    {
        client.close();
        CHECK(bench.until([&] { return bench.closed == 1; }));
        bench.last->reply(200, {}, "late");
        CHECK(bench.until([&] { return bench.server.isIdle(); }));
    }
    SECTION("a caller that closes in mid-answer is noticed")
    {
        bench.last->startReply(200, {});
        bench.last->sendChunk("one");
        REQUIRE(bench.until([&] { return client.received().find("one") != std::string::npos; }));
        client.close();
        CHECK(bench.until([&] { return bench.closed == 1; }));
        bench.last->sendChunk("late");
        bench.last->endReply();
        CHECK(bench.until([&] { return bench.server.isIdle(); }));
    }
    SECTION("requests sent ahead wait for their turn and get their own answers")
    {
        client.send(Ask + Ask);
        bench.until([&] { return bench.server.receivedBytes() == 3 * Ask.size(); });
        CHECK(bench.handled == 1);
        for (std::size_t turn = 1; turn <= 3; ++turn) {
            bench.last->reply(200, {}, "answer-" + std::to_string(turn));
            CHECK(bench.until([&] { return turn == 3 || bench.handled == turn + 1; }));
        }
        CHECK(bench.until([&] { return client.received().find("answer-3") != std::string::npos; }));
    }
    SECTION("an exchange that is dropped answers 500")
    {
        bench.last.reset();
        CHECK(bench.until([&] { return client.received().find(" 500 ") != std::string::npos; }));
    }
    SECTION("an answer that began and is dropped is cut, without its end mark")
    {
        bench.last->startReply(200, {});
        bench.last->sendChunk("one");
        bench.last.reset();
        REQUIRE(bench.until([&] { return client.closedByPeer(); }));
        CHECK(client.received().find("0\r\n\r\n") == std::string::npos);
    }
    SECTION("a long answer to a caller that does not read is bounded and then drains")
    {
        const std::string block(1'000'000, 'x');
        bool drained = false;
        client.pause();
        bench.last->onDrained([&drained] { drained = true; });
        bench.last->startReply(200, {});
        for (int i = 0; i < 20; ++i)
            bench.last->sendChunk(block);
        CHECK_FALSE(bench.until([&] { return drained; }, 2 * IdleTimeout));
        CHECK(bench.last->unsentBytes() > block.size());
        bench.last->endReply();
        CHECK_FALSE(bench.server.isIdle());
        client.resume();
        CHECK(bench.until([&] { return bench.server.isIdle(); }));
        CHECK(bench.until([&] { return client.received().size() > 20 * block.size(); }));
        CHECK(client.received().compare(client.received().size() - 5, 5, "0\r\n\r\n") == 0);
    }
    SECTION("an answer may take longer than a connection may be idle")
    {
        CHECK_FALSE(bench.until([&] { return bench.closed > 0; }, 2 * IdleTimeout));
        bench.last->reply(200, {}, "at last");
        CHECK(bench.until([&] { return client.closedByPeer(); }));
        CHECK(client.received().find("at last") != std::string::npos);
    }
    SECTION("while draining an answer closes its connection")
    {
        bench.server.closeAfterReplies();
        bench.last->reply(200, {}, "bye");
        CHECK(bench.until([&] { return client.closedByPeer(); }));
        CHECK(client.received().find("Connection: close") != std::string::npos);
        CHECK(bench.server.isIdle());
    }
    SECTION("a header of odd bytes or a smuggled line cannot split an answer")
    {
        bench.last->reply(200, {{"Content-Type", "a\r\nX-Smuggled: 1"}}, "body");
        CHECK(bench.until([&] { return client.received().find("body") != std::string::npos; }));
        CHECK(client.received().find("X-Smuggled") == std::string::npos);
    }
}

TEST_CASE("An HTTP server meets bad input", "[Transport][HttpServer]")
{
    struct Row
    {
        const char *input;
        std::string bytes;
        const char *status;
    };
    const std::vector<Row> rows = {
            {"nonsense", "nonsense\r\n\r\n", "400"},
            {"negative length", "POST / HTTP/1.1\r\nContent-Length: -5\r\n\r\n", "400"},
            {"length that is no number", "POST / HTTP/1.1\r\nContent-Length: 5x\r\n\r\n", "400"},
            {"body over the limit",
             "POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n" + std::string(5'000, 'x'), "413"},
            {"chunks over the limit",
             "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1000\r\n"
                     + std::string(4'096, 'x'),
             "413"},
            {"head over the limit", "GET / HTTP/1.1\r\nX: " + std::string(100'000, 'x'), "400"},
            {"odd bytes in a header", "GET / HTTP/1.1\r\nX-Workspace: \x01\xff\xfe\r\n\r\n", "200"},
            {"unknown method", "BREW / HTTP/1.1\r\n\r\n", "501"},
    };
    Bench bench;
    for (const Row &row : rows) {
        DYNAMIC_SECTION(row.input)
        {
            RawClient client(bench.loop, bench.server.endpoint());
            client.send(row.bytes);
            bench.until([&] { return bench.handled == 1 || client.closedByPeer(); });
            if (bench.last != nullptr)
                bench.last->reply(200, {}, "");
            bench.until([&] { return !client.received().empty() || client.closedByPeer(); });
            CHECK(client.received().substr(0, 12) == std::string("HTTP/1.1 ") + row.status);
        }
    }
}
