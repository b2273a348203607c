#include "coordination/crash_guard.h"

#include "protocol/peer_message.h"
#include "support/controller_bench.h"
#include "support/fleet.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace dotterel;
using namespace dotterel::support;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1'000s};

/// What arrives at a peer.
CrashNotice sentOver(const CrashNotice &notice)
{
    return std::get<CrashNotice>(*decodePeerMessage(encodePeerMessage(notice)));
}

} // namespace

TEST_CASE("A crash guard counts the servers that died under a request",
          "[Coordination][CrashGuard]")
{
    NullMetrics metrics;
    NullEventLog log;
    CrashLimits limits;
    limits.mostRecords = 8;
    CrashGuard here(limits, metrics, log);
    CrashGuard there(limits, metrics, log);

    SECTION("three deaths refuse it, on every host that was told")
    {
        for (int death = 0; death < 3; ++death) {
            CHECK_FALSE(there.refuses("f", Start));
            const ServerId server = "s" + std::to_string(death);
            CHECK(there.onNotice(sentOver(here.onServerDied("f", server, Start + death * 1s)),
                                 Start + death * 1s));
        }
        CHECK(here.refuses("f", Start + 3s));
        CHECK(there.refuses("f", Start + 3s));
    }
    SECTION("reports of one death count once, and old news is not passed on")
    {
        const CrashNotice notice = sentOver(here.onServerDied("f", "s0", Start));
        here.onServerDied("f", "s0", Start + 1s);
        CHECK(there.onNotice(notice, Start));
        CHECK_FALSE(there.onNotice(notice, Start + 1s));
        CHECK(here.crashes("f", Start + 1s) == 1);
        CHECK(there.crashes("f", Start + 1s) == 1);
    }
    SECTION("a request that runs to its end is cleared, whatever order the news comes in")
    {
        const CrashNotice died = sentOver(here.onServerDied("f", "s0", Start));
        const CrashNotice cleared = sentOver(here.onFinished("f", Start + 1s));
        there.onNotice(cleared, Start + 2s);
        there.onNotice(died, Start + 2s);
        CHECK(there.crashes("f", Start + 2s) <= 1);
        there.onNotice(cleared, Start + 3s);
        CHECK(here.crashes("f", Start + 3s) == 0);
    }
    SECTION("memory is bounded and forgets the refused last")
    {
        for (int death = 0; death < 3; ++death)
            here.onServerDied("killer", "s" + std::to_string(death), Start);
        for (int i = 0; i < 100; ++i)
            here.onServerDied("other-" + std::to_string(i), "s9", Start + i * 1s);
        CHECK(here.refuses("killer", Start + 100s));
        CHECK(here.crashes("other-0", Start + 100s) == 0);
        CHECK(here.crashes("other-99", Start + 100s) == 1);
        CHECK_FALSE(here.refuses("killer", Start + 2h));
    }
    SECTION("a notice of a broken peer is rejected")
    {
        CrashNotice notice;
        notice.fingerprint = std::string(1'000, 'f');
        CHECK_FALSE(decodePeerMessage(encodePeerMessage(notice)));
        notice.fingerprint = "f";
        notice.crashes.assign(100, {"s", 1s});
        CHECK_FALSE(decodePeerMessage(encodePeerMessage(notice)));
    }
}

TEST_CASE("Suspects run apart until they are cleared", "[Coordination][CrashGuard]")
{
    constexpr int Innocents = 12;
    ControllerBench bench(8);
    std::set<ServerId> dead;
    const auto kill = [&](const ServerId &server) {
        dead.insert(server);
        const std::vector<ControllerBench::Sent> sent = bench.sent;
        for (const ControllerBench::Sent &row : sent) {
            const RequestId id = row.attempt.substr(0, row.attempt.rfind('.'));
            if (row.server == server && bench.last(id).attempt == row.attempt)
                bench.fail(row.attempt, Verdict::MayHaveRun, Reason::BackendFailed,
                           ServerFault::ConnectionLost);
        }
    };
    AttemptId lastKilled;
    bench.submit("killer", "review", 1'000, "crash");
    for (int i = 0; i < Innocents; ++i)
        bench.submit("i" + std::to_string(i), "review", 1'000, "body " + std::to_string(i));
    for (int step = 0; step < 200 && bench.controller.inFlight() > 0; ++step) {
        if (bench.last("killer").attempt != lastKilled) {
            lastKilled = bench.last("killer").attempt;
            kill(bench.last("killer").server);
        }
        for (int i = 0; i < Innocents; ++i) {
            const RequestId id = "i" + std::to_string(i);
            const AttemptId attempt = bench.last(id).attempt;
            // Each needs some steps, so that some are hit by more than one death.
            if (step % 4 == 3)
                bench.end(attempt, 0);
        }
        bench.pass(100ms);
    }
    CHECK(dead.size() == 3);
    CHECK(bench.callers["killer"].failure->reason == Reason::CrashesBackendServers);
    CHECK(bench.callers["killer"].failure->verdict == Verdict::MayHaveRun);
    for (int i = 0; i < Innocents; ++i)
        CHECK(bench.callers["i" + std::to_string(i)].whole);
    bench.submit("again", "review", 1'000, "crash");
    CHECK(bench.callers["again"].failure->reason == Reason::CrashesBackendServers);
}

TEST_CASE("A request that crashes engines costs the fleet three at most", "[EntryHost][CrashGuard]")
{
    FleetShape shape;
    shape.hosts = 3;
    shape.engines = 8;
    Fleet fleet(shape);
    fakes::EngineBehaviour behaviour;
    behaviour.crashMarker = "CRASH";
    behaviour.answerTokens = 100;
    for (std::size_t i = 0; i < shape.engines; ++i)
        fleet.engine(i).setBehaviour(behaviour);
    REQUIRE(fleet.runUntil([&] {
        for (std::size_t i = 0; i < shape.hosts; ++i) {
            if (nlohmann::json::parse(fleet.status(i)).at("peer_links") < 2)
                return false;
        }
        return true;
    }));
    const HttpHeaders headers = {{"X-Workspace", "harinal"}, {"X-Request-Class", "question"}};
    std::vector<std::unique_ptr<HttpFetch>> innocents;
    std::vector<std::string> answers;
    const auto askInnocent = [&](std::size_t host) {
        HttpRequest request;
        request.endpoint = fleet.host(host).callers();
        request.method = "POST";
        request.target = "/v1/completions";
        request.headers = headers;
        request.body = std::make_shared<const std::string>(
                completionBody(1'000, "innocent " + std::to_string(innocents.size())));
        innocents.push_back(std::make_unique<HttpFetch>(
                fleet.httpClient(), request,
                [&](const std::optional<HttpResponse> &answer, const HttpFailure &) {
                    answers.push_back(answer ? answer->body : "no answer");
                }));
    };
    const std::string crash = completionBody(1'000, "CRASH");
    std::vector<std::string> refusals;
    for (std::size_t attempt = 0; attempt < 6; ++attempt) {
        for (std::size_t i = 0; i < 12; ++i)
            askInnocent(i % shape.hosts);
        fleet.runFor(20ms);
        const std::optional<HttpResponse> answer =
                fleet.call(attempt % shape.hosts, "POST", "/v1/completions", headers, crash);
        REQUIRE(answer);
        refusals.push_back(answer->body);
    }
    REQUIRE(fleet.runUntil([&] { return answers.size() == innocents.size(); }));
    std::size_t crashed = 0;
    for (std::size_t i = 0; i < shape.engines; ++i)
        crashed += fleet.engine(i).hasCrashed() ? 1 : 0;
    CHECK(crashed == 3);
    for (const std::string &refusal : refusals)
        CHECK(refusal.find("crashes_backend_servers") != std::string::npos);
    for (const std::string &answer : answers)
        CHECK(answer.find("data: [DONE]") != std::string::npos);
}
