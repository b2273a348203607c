// Connections that arrive while the process has no free descriptors.

#include "transport/http_server.h"
#include "transport/keep_alive_http_server.h"
#include "transport/socket_options.h"
#include "transport/websocket_link.h"

#include <catch2/catch.hpp>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace dotterel;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// More than the timers that run in the watched time, and far fewer than a loop without a pause.
constexpr int MaxRounds = 100;

/// Takes all descriptors of the process that are free.
class NoFreeDescriptors
{
public:
    NoFreeDescriptors()
    {
        getrlimit(RLIMIT_NOFILE, &this->previous);
        const int lowestFree = dup(0);
        close(lowestFree);
        rlimit none = this->previous;
        none.rlim_cur = static_cast<rlim_t>(lowestFree);
        setrlimit(RLIMIT_NOFILE, &none);
    }
    ~NoFreeDescriptors() { setrlimit(RLIMIT_NOFILE, &this->previous); }
    NoFreeDescriptors(const NoFreeDescriptors &) = delete;
    NoFreeDescriptors &operator=(const NoFreeDescriptors &) = delete;

private:
    rlimit previous{};
};

/// A connection that needs no memory of libevent.
class PlainClient
{
public:
    PlainClient()
        : descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {}
    ~PlainClient() { close(this->descriptor); }
    PlainClient(const PlainClient &) = delete;
    PlainClient &operator=(const PlainClient &) = delete;

    void request(const Endpoint &endpoint) const
    {
        const std::optional<sockaddr_in> address = toSocketAddress(endpoint);
        REQUIRE(connect(this->descriptor, reinterpret_cast<const sockaddr *>(&*address),
                        sizeof(*address))
                == 0);
        const std::string head = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
        REQUIRE(write(this->descriptor, head.data(), head.size())
                == static_cast<ssize_t>(head.size()));
    }

private:
    int descriptor;
};

struct CountingHandler : HttpCallHandler
{
    void onHttpRequest(HttpCallId /*call*/, HttpMessageHead && /*head*/,
                       std::shared_ptr<const std::string> /*body*/) override
    {
        ++this->requests;
    }
    void onHttpPeerClosed(HttpCallId /*call*/) override {}
    void onHttpDrained(HttpCallId /*call*/) override {}
    void onHttpRejected(int /*status*/) override {}

    int requests = 0;
};

/// Returns how often \a loop wakes up within half a second.
int countRounds(EventLoop &loop)
{
    int rounds = 0;
    const TimePoint end = loop.now() + milliseconds(500);
    while (loop.now() < end) {
        const EventLoop::TimerHandle wake = loop.after(milliseconds(100), [] {});
        loop.runOnce(true);
        ++rounds;
    }
    return rounds;
}

} // namespace

// Guards against a host that spends a processor on accept() and fills the disk with warnings.
TEST_CASE("A host without free descriptors tried to accept without a pause",
          "[Transport][AcceptErrors]")
{
    EventLoop loop;
    CountingHandler callers;
    int exchanges = 0;
    int links = 0;
    const KeepAliveHttpServer callerServer(loop, {"127.0.0.1", 0}, {}, callers);
    const HttpServer operatorServer(loop, {"127.0.0.1", 0}, 4'096,
                                    [&exchanges](const HttpExchangePtr &) { ++exchanges; });
    const WebsocketListener peerListener(
            loop, {"127.0.0.1", 0}, LinkLimits{},
            [&links](const std::unique_ptr<WebsocketLink> &) { ++links; });
    const PlainClient caller;
    const PlainClient operatorClient;
    const PlainClient peer;
    // The first wake-up takes what the loop itself needs.
    countRounds(loop);
    // The requests wait in the queues of the listeners until the loop runs.
    SECTION("at the port of callers")
    {
        caller.request(callerServer.endpoint());
    }
    SECTION("at the port of operators")
    {
        operatorClient.request(operatorServer.endpoint());
    }
    SECTION("at the port of peers")
    {
        peer.request(peerListener.endpoint());
    }
    const int &requests = callers.requests;
    int rounds = 0;
    int taken = 0;
    {
        // Sanitizers need a descriptor to check objects of a class with virtual functions.
        const NoFreeDescriptors none;
        rounds = countRounds(loop);
        taken = requests + exchanges + links;
    }
    CHECK(rounds < MaxRounds);
    CHECK(taken == 0);
    const TimePoint end = loop.now() + seconds(3);
    while (callers.requests + exchanges + links == 0 && loop.now() < end)
        loop.runOnce(true);
    CHECK(callers.requests + exchanges + links == 1);
}
