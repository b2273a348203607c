// Callers that read slowly and steadily.

#include "transport/keep_alive_http_server.h"
#include "transport/socket_options.h"

#include <array>
#include <catch2/catch.hpp>
#include <sys/socket.h>
#include <unistd.h>

using namespace dotterel;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Answers each request with a body of \a bytes and closes the connection.
struct BodyHandler : HttpCallHandler
{
    void onHttpRequest(HttpCallId call, HttpMessageHead && /*head*/,
                       std::shared_ptr<const std::string> /*body*/) override
    {
        this->server->reply(call, 200, {}, std::string(this->bytes, 'x'));
    }
    void onHttpPeerClosed(HttpCallId /*call*/) override {}
    void onHttpDrained(HttpCallId /*call*/) override {}
    void onHttpRejected(int /*status*/) override {}

    KeepAliveHttpServer *server = nullptr;
    std::size_t bytes = 0;
};

/// A caller with a small receive buffer that reads when a test says so.
class SlowReader
{
public:
    explicit SlowReader(const Endpoint &endpoint)
        : descriptor(socket(AF_INET, SOCK_STREAM, 0))
    {
        const int bufferBytes = 6'000;
        setsockopt(this->descriptor, SOL_SOCKET, SO_RCVBUF, &bufferBytes, sizeof(bufferBytes));
        const sockaddr_in address = toSocketAddress(endpoint).value();
        REQUIRE(connect(this->descriptor, reinterpret_cast<const sockaddr *>(&address),
                        sizeof(address))
                == 0);
        const std::string request = "GET /a HTTP/1.1\r\nHost: shop\r\nConnection: close\r\n\r\n";
        REQUIRE(::send(this->descriptor, request.data(), request.size(), 0)
                == static_cast<ssize_t>(request.size()));
    }
    ~SlowReader() { close(this->descriptor); }
    SlowReader(const SlowReader &) = delete;
    SlowReader &operator=(const SlowReader &) = delete;

    /// Reads up to \a limit bytes of what has arrived.
    void read(std::size_t limit)
    {
        std::vector<char> buffer(limit);
        const ssize_t count = recv(this->descriptor, buffer.data(), limit, MSG_DONTWAIT);
        if (count > 0)
            this->received += static_cast<std::size_t>(count);
        else if (count == 0 || errno != EAGAIN)
            this->ended = true;
        this->broken = this->broken || (count < 0 && errno != EAGAIN);
    }

    std::size_t received = 0;
    bool ended = false;
    bool broken = false;

private:
    int descriptor;
};

struct SlowReaderFixture
{
    explicit SlowReaderFixture(std::size_t bytes)
    {
        this->handler.server = &this->server;
        this->handler.bytes = bytes;
    }

    static KeepAliveHttpServerLimits limits()
    {
        KeepAliveHttpServerLimits limits;
        limits.idleTimeout = milliseconds(300);
        return limits;
    }

    void runFor(Duration time)
    {
        const TimePoint end = this->loop.now() + time;
        while (this->loop.now() < end) {
            const EventLoop::TimerHandle wake = this->loop.after(milliseconds(10), [] {});
            this->loop.runOnce(true);
        }
    }

    EventLoop loop;
    BodyHandler handler;
    KeepAliveHttpServer server{this->loop, {"127.0.0.1", 0}, limits(), this->handler};
};

} // namespace

// Guards against answers that are cut off while the caller's receive buffer is full.
TEST_CASE("A caller that read nothing for some seconds lost its answer", "[Transport][SlowReaders]")
{
    constexpr std::size_t AnswerBytes = 40'000;
    SlowReaderFixture fixture(AnswerBytes);
    SlowReader reader(fixture.server.endpoint());
    fixture.runFor(seconds(4));
    for (int step = 0; step < 300 && !reader.ended; ++step) {
        reader.read(AnswerBytes);
        fixture.runFor(milliseconds(10));
    }
    CHECK_FALSE(reader.broken);
    CHECK(reader.received > AnswerBytes);
}

TEST_CASE("A caller that reads an answer for longer than the idle time gets all of it",
          "[Transport][SlowReaders]")
{
    // Far more than the buffers of the sockets hold.
    constexpr std::size_t AnswerBytes = 16UL * 1024 * 1024;
    SlowReaderFixture fixture(AnswerBytes);
    SlowReader reader(fixture.server.endpoint());
    const TimePoint began = fixture.loop.now();
    while (!reader.ended && fixture.loop.now() - began < seconds(60)) {
        // Reads for the first 2 s at a slow pace.
        const bool isSlow = fixture.loop.now() - began < seconds(2);
        reader.read(64UL * 1024);
        if (isSlow)
            fixture.runFor(milliseconds(20));
        else
            fixture.loop.runOnce(false);
    }
    CHECK_FALSE(reader.broken);
    CHECK(reader.received > AnswerBytes);
}
