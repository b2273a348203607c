#include "state/http_object_store.h"
#include "support/child_process.h"
#include "support/fleet.h"
#include "support/raw_client.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <regex>
#include <unistd.h>

using namespace dotterel;
using namespace dotterel::support;
using namespace std::chrono_literals;

namespace {

/// A load balancer takes this long at least to notice that a host is not ready.
constexpr auto LoadBalancerDelay = 400ms;
/// Covers the delay also if this test waits for a processor on a loaded machine.
constexpr auto ShutdownGrace = 3'000ms;
constexpr std::uint64_t AnswerTokens = 300;

std::string httpRequest(const std::string &body)
{
    return "POST /v1/completions HTTP/1.1\r\nHost: h\r\nX-Workspace: harinal\r\n"
           "X-Request-Class: review\r\nContent-Length: "
           + std::to_string(body.size()) + "\r\n\r\n" + body;
}

bool isCompleteResponse(const std::string &answer)
{
    return answer.find("t" + std::to_string(AnswerTokens - 1) + " ") != std::string::npos
           && answer.find("data: [DONE]") != std::string::npos;
}

/// A dotterelfieldd process that uses the fake platform and servers of a Fleet without hosts.
class HostProcess
{
public:
    explicit HostProcess(Fleet &fleet)
        : path("shutdown-test-" + std::to_string(getpid()))
    {
        std::ofstream(this->path + ".yaml")
                << "host: real\nfailure-domain: centro-a\n"
                << "callers: {address: 127.0.0.1, port: 0}\n"
                << "operators: {address: 127.0.0.1, port: 0}\n"
                << "peers: {address: 127.0.0.1, port: 0}\n"
                << "platform: {address: 127.0.0.1, port: " << fleet.platform().endpoint().port
                << "}\nshutdown-grace-ms: " << ShutdownGrace.count() << "\n";
        const std::string program = std::string(DOTTEREL_BINARY_DIR) + "/dotterelfieldd";
        this->process = std::make_unique<ChildProcess>(
                std::vector<std::string>{program, "--settings", this->path + ".yaml"},
                this->path + ".log");
    }
    ~HostProcess()
    {
        this->process.reset();
        std::remove((this->path + ".yaml").c_str());
        std::remove((this->path + ".log").c_str());
    }
    HostProcess(const HostProcess &) = delete;
    HostProcess &operator=(const HostProcess &) = delete;

    /// Returns the address that the first log line has under \a name; port 0 before it is written.
    Endpoint endpoint(const std::string &name) const
    {
        const std::regex pattern("\"" + name + "\":\"127.0.0.1:([0-9]+)\"");
        const std::string output = this->process->output();
        std::smatch match;
        if (!std::regex_search(output, match, pattern))
            return {};
        return {"127.0.0.1", static_cast<std::uint16_t>(std::stoi(match[1]))};
    }

    std::string path;
    std::unique_ptr<ChildProcess> process;
};

/// Returns the HTTP status of /readyz, or 0 if the request failed.
int readiness(Fleet &fleet, const HostProcess &host)
{
    HttpRequest request;
    request.endpoint = host.endpoint("operators");
    request.target = "/readyz";
    std::optional<int> status;
    const HttpFetch fetch(fleet.httpClient(), request,
                          [&](const std::optional<HttpResponse> &answer, const HttpFailure &) {
                              status = answer ? answer->status : 0;
                          });
    fleet.runUntil([&] { return status.has_value(); });
    return status.value_or(0);
}

} // namespace

TEST_CASE("SIGTERM under load does not truncate any response", "[EntryHost][Shutdown]")
{
    FleetShape shape;
    shape.hosts = 0;
    Fleet fleet(shape);
    for (std::size_t i = 0; i < shape.engines; ++i) {
        fakes::EngineBehaviour behaviour;
        behaviour.answerTokens = AnswerTokens;
        behaviour.tokenInterval = 5ms;
        fleet.engine(i).setBehaviour(behaviour);
    }
    HostProcess host(fleet);
    // The exit of the process does not wake the event loop, so a periodic timer does.
    const EventLoop::TimerHandle wakeTimer = fleet.eventLoop().every(20ms, [] {});
    REQUIRE(fleet.runUntil([&] { return host.endpoint("callers").port != 0; }));
    REQUIRE(fleet.runUntil([&] { return readiness(fleet, host) == 200; }));
    const Endpoint callers = host.endpoint("callers");

    std::vector<std::unique_ptr<RawClient>> clients;
    const std::string body = completionBody(1'000);
    const auto sendOnNewConnection = [&](const std::string &bytes) -> RawClient & {
        clients.push_back(std::make_unique<RawClient>(fleet.eventLoop(), callers));
        clients.back()->send(bytes);
        return *clients.back();
    };
    for (int i = 0; i < 20; ++i)
        sendOnNewConnection(httpRequest(body));
    REQUIRE(fleet.runUntil([&] {
        return std::all_of(clients.begin(), clients.end(),
                           [](const auto &client) { return !client->received().empty(); });
    }));
    // One caller has sent half of its request, and one will reuse its connection.
    const std::string splitRequest = httpRequest(body);
    RawClient &uploader = sendOnNewConnection(splitRequest.substr(0, 1'000));
    RawClient &keptAlive = sendOnNewConnection("GET /nowhere HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(fleet.runUntil([&] { return !keptAlive.received().empty(); }));

    host.process->signal(SIGTERM);
    REQUIRE(fleet.runUntil([&] { return readiness(fleet, host) == 503; }));
    // The load balancer has not noticed yet and sends one more request.
    fleet.runFor(LoadBalancerDelay);
    RawClient &lateCaller = sendOnNewConnection(httpRequest(body));
    REQUIRE(fleet.runUntil([&] { return !lateCaller.received().empty(); }));
    CHECK(lateCaller.received().find("Connection: close") != std::string::npos);
    const auto refusesConnections = [&] {
        RawClient probe(fleet.eventLoop(), callers);
        fleet.runFor(20ms);
        return probe.closedByPeer();
    };
    REQUIRE(fleet.runUntil(refusesConnections));
    keptAlive.send(httpRequest(body));
    uploader.send(splitRequest.substr(1'000));

    REQUIRE(fleet.runUntil([&] { return !host.process->running(); }));
    CHECK(host.process->wait() == 0);
    fleet.runFor(50ms);
    for (const auto &client : clients)
        CHECK(isCompleteResponse(client->received()));
}
