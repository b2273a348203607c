#include "support/forward_bench.h"

#include <catch2/catch.hpp>

using namespace dotterel;
using namespace dotterel::support;
using std::chrono::milliseconds;

namespace {

const HttpHeaders Signed = {{"Signed", "s"}};
const HttpHeaders NotRun = {{"Not-Run", "1"}};

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

} // namespace

TEST_CASE("A request finds its route, its workspace and a server", "[Gateway][ForwardController]")
{
    ForwardBench bench;
    bench.addServer("app-1", "app");

    SECTION("and goes there unchanged but for what the system sets")
    {
        const HttpCallId call = bench.request("/orders/7?x=%20", {{"Patience-Ms", "900"}});
        REQUIRE(bench.sent.size() == 1);
        const SentAttempt &attempt = bench.sent[0];
        CHECK(attempt.request.target == "/orders/7?x=%20");
        CHECK(*attempt.request.body == "body");
        CHECK(attempt.header("Workspace") == "cakes");
        CHECK(attempt.header("Server") == "app-1");
        CHECK(attempt.header("Left-Ms") == "900");
        CHECK(attempt.header("Key").empty());
        bench.serverAnswers(0, 200, Signed, "done");
        CHECK(bench.outcome(call).status == 200);
        CHECK(bench.outcome(call).body == "done");
        CHECK(bench.controller.inFlight() == 0);
    }
    SECTION("or none, and is told so at once")
    {
        CHECK(bench.outcome(bench.request("/nothing/")).status == 404);
        CHECK(bench.outcome(bench.request("/orders/", {{"Key", "stolen"}})).status == 401);
        CHECK(bench.sent.empty());
    }
    SECTION("on an open route without a key")
    {
        bench.configuration.routes[0].isOpen = true;
        bench.applyConfiguration();
        bench.request("/orders/", {{"Key", "unknown"}});
        REQUIRE(bench.sent.size() == 1);
        CHECK(bench.sent[0].header("Workspace").empty());
    }
    SECTION("not before there is a configuration")
    {
        bench.controller.setRoutes(std::make_shared<RouteTable>());
        const HttpCallId call = bench.request("/orders/");
        CHECK(bench.outcome(call).status == 503);
        CHECK(findHeader(bench.outcome(call).headers, "Retry-After-Ms") != nullptr);
    }
}

TEST_CASE("What must not run twice is never sent twice", "[Gateway][ForwardController]")
{
    ForwardBench bench;
    bench.addServer("app-1", "app");
    bench.addServer("app-2", "app");
    const HttpCallId call = bench.request("/orders/");
    REQUIRE(bench.sent.size() == 1);
    CHECK(bench.sent[0].request.freshConnection);

    SECTION("after a lost answer its caller hears that it may have run")
    {
        bench.fail(0, HttpFailureKind::ConnectionLost, Verdict::MayHaveRun);
        CHECK(bench.outcome(call).status == 502);
        CHECK(findHeader(bench.outcome(call).headers, "Retry-After-Ms") == nullptr);
        CHECK(bench.sent.size() == 1);
    }
    SECTION("after a promise that it has not run, the refusal says so too")
    {
        bench.serverAnswers(0, 503, NotRun, "");
        CHECK(bench.outcome(call).status == 503);
        CHECK(findHeader(bench.outcome(call).headers, "Retry-After-Ms") != nullptr);
        CHECK(bench.sent.size() == 1);
    }
    SECTION("without a connection it goes to another server, since nothing has left")
    {
        bench.fail(0, HttpFailureKind::ConnectFailed, Verdict::NotRun);
        REQUIRE(bench.sent.size() == 2);
        CHECK(bench.sent[1].header("Server") != bench.sent[0].header("Server"));
        bench.serverAnswers(1, 200, Signed, "done");
        CHECK(bench.outcome(call).status == 200);
    }
    SECTION("a server's own failure is passed on as it is")
    {
        bench.serverAnswers(0, 500, Signed, "broken");
        CHECK(bench.outcome(call).status == 500);
        CHECK(bench.outcome(call).body == "broken");
    }
    SECTION("a status that promises too much is not passed on")
    {
        bench.serverAnswers(0, 503, Signed, "");
        CHECK(bench.outcome(call).status == 502);
    }
    SECTION("an answer that the server does not vouch for is none")
    {
        bench.serverAnswers(0, 200, {}, "forged");
        CHECK(bench.outcome(call).status == 502);
        CHECK(bench.outcome(call).body.empty());
    }
    SECTION("when its time is up it ends at that moment, as possibly run")
    {
        bench.pass(milliseconds(1'999));
        CHECK(bench.outcome(call).status == 0);
        bench.pass(milliseconds(1));
        CHECK(bench.outcome(call).status == 504);
        CHECK(bench.sent[0].cancelled);
    }
    SECTION("when its caller leaves, the server is told by the end of the connection")
    {
        bench.controller.onCallerGone(call, bench.now);
        CHECK(bench.sent[0].cancelled);
        CHECK(bench.controller.inFlight() == 0);
    }
}

TEST_CASE("What may be repeated goes to another server", "[Gateway][ForwardController]")
{
    ForwardBench bench;
    bench.addServer("app-1", "app");
    bench.addServer("app-2", "app");
    const HttpCallId call = bench.request("/lookups/");

    SECTION("after a failure, a spoiled answer or a lost one")
    {
        SECTION("it failed")
        {
            bench.serverAnswers(0, 500, Signed, "");
        }
        SECTION("it is not signed")
        {
            bench.serverAnswers(0, 200, {}, "forged");
        }
        SECTION("it is encoded")
        {
            bench.serverAnswers(0, 200, {{"Signed", "s"}, {"Content-Encoding", "br"}}, "x");
        }
        SECTION("it broke off")
        {
            bench.fail(0, HttpFailureKind::AnswerCut, Verdict::MayHaveRun);
        }
        REQUIRE(bench.sent.size() == 2);
        CHECK(bench.sent[1].header("Server") != bench.sent[0].header("Server"));
        bench.serverAnswers(1, 200, Signed, "whole");
        CHECK(bench.outcome(call).body == "whole");
    }
    SECTION("on a fresh connection if the server had closed the idle one")
    {
        bench.fail(0, HttpFailureKind::ConnectionLost, Verdict::MayHaveRun, true);
        REQUIRE(bench.sent.size() == 2);
        bench.fail(1, HttpFailureKind::ConnectionLost, Verdict::MayHaveRun);
        CHECK(bench.sent.size() == 3);
    }
    SECTION("after silence, while another server may try")
    {
        bench.pass(milliseconds(700));
        REQUIRE(bench.sent.size() == 2);
        CHECK(bench.sent[0].cancelled);
        SECTION("and a second silence lasts until the deadline without spinning")
        {
            bench.pass(milliseconds(1'200));
            CHECK(bench.sent.size() == 2);
            CHECK(bench.controller.inFlight() == 1);
            bench.pass(milliseconds(200));
            CHECK(bench.outcome(call).status == 504);
        }
    }
    SECTION("as often as the route allows, and the last failure is passed on")
    {
        bench.serverAnswers(0, 500, Signed, "first");
        bench.serverAnswers(1, 500, Signed, "second");
        CHECK(bench.sent.size() == 2);
        CHECK(bench.outcome(call).status == 500);
        CHECK(bench.outcome(call).body == "second");
    }
    SECTION("not beyond the allowance that all hosts share")
    {
        bench.retries.setBound({0.0, 2.0, std::chrono::seconds(10)});
        bench.retries.setHosts(9);
        std::size_t repeated = 0;
        for (int round = 0; round < 20; ++round) {
            const std::size_t index = bench.sent.size();
            bench.request("/lookups/");
            bench.serverAnswers(index, 500, Signed, "");
            if (bench.sent.size() > index + 1) {
                ++repeated;
                bench.serverAnswers(index + 1, 200, Signed, "");
            }
        }
        CHECK(repeated <= 5);
    }
}

TEST_CASE("A stream reaches its caller event by event", "[Gateway][ForwardController]")
{
    ForwardBench bench;
    bench.addServer("engine-1", "engines");
    bench.addServer("engine-2", "engines");
    const HttpCallId call = bench.request("/questions/", {{"Tokens", "5000,1300"}});
    REQUIRE(bench.sent.size() == 1);
    const ForwardAttemptId first = bench.sent[0].id;
    bench.controller.onAttemptHead(first, 200, Signed, bench.now);

    SECTION("as soon as each is whole")
    {
        bench.controller.onAttemptData(first, event(1) + "id: 2\nda", bench.now);
        CHECK(bench.outcome(call).body == event(1));
        bench.controller.onAttemptData(first, "ta: x\n\n", bench.now);
        bench.controller.onAttemptComplete(first, bench.now);
        CHECK(bench.outcome(call).body == event(1) + event(2));
        CHECK(bench.outcome(call).ended);
    }
    SECTION("and goes on at another server after the last whole one")
    {
        bench.controller.onAttemptData(first, event(1) + event(2) + "id: 3\nda", bench.now);
        bench.fail(0, HttpFailureKind::AnswerCut, Verdict::MayHaveRun);
        REQUIRE(bench.sent.size() == 2);
        CHECK(bench.sent[1].header("After") == "2");
        bench.serverAnswers(1, 200, Signed, event(2) + event(3));
        CHECK(bench.outcome(call).body == event(1) + event(2) + event(3));
        CHECK(bench.outcome(call).ended);
        CHECK_FALSE(bench.outcome(call).aborted);
    }
    SECTION("and is not cut for a silence that another server could not end sooner")
    {
        bench.controller.onAttemptData(first, event(1), bench.now);
        SECTION("while no further attempt is allowed")
        {
            bench.retries.setBound({0.0, 0.0, std::chrono::seconds(10)});
            bench.retries.withdraw("engines", bench.now);
            bench.pass(std::chrono::seconds(5));
            CHECK(bench.sent.size() == 1);
            CHECK_FALSE(bench.outcome(call).aborted);
        }
        SECTION("but goes on elsewhere before its caller leaves, however busy the others are")
        {
            bench.request("/archives/", {{"Tokens", "300000,700"}});
            bench.request("/archives/", {{"Tokens", "300000,700"}});
            const std::size_t before = bench.sent.size();
            bench.pass(milliseconds(1'500));
            CHECK(bench.sent.size() == before);
            bench.pass(milliseconds(200));
            CHECK(bench.sent.size() == before + 1);
            CHECK_FALSE(bench.outcome(call).aborted);
            CHECK(bench.sent.back().header("After") == "1");
        }
    }
    SECTION("or is broken off if no server can go on, and does not look whole")
    {
        bench.controller.onAttemptData(first, event(1), bench.now);
        bench.fail(0, HttpFailureKind::AnswerCut, Verdict::MayHaveRun);
        bench.fail(1, HttpFailureKind::AnswerCut, Verdict::MayHaveRun);
        CHECK(bench.outcome(call).aborted);
        CHECK_FALSE(bench.outcome(call).ended);
    }
    SECTION("while its caller reads; else the server is not read either")
    {
        bench.unsent = 1'000'000;
        bench.controller.onAttemptData(first, event(1), bench.now);
        CHECK(bench.pauses == std::vector<bool>{true});
        bench.controller.onCallerDrained(call);
        CHECK(bench.pauses == std::vector<bool>{true, false});
    }
    SECTION("and the other hosts hear of its dispatch, its first event and its end")
    {
        bench.controller.onAttemptData(first, event(1), bench.now);
        bench.controller.onAttemptComplete(first, bench.now);
        REQUIRE(bench.news.size() == 3);
        CHECK(bench.news[0].kind == PromptUpdateKind::Dispatched);
        CHECK(bench.news[0].demand.promptTokens == 5'000);
        CHECK(bench.news[1].kind == PromptUpdateKind::FirstEvent);
        CHECK(bench.news[2].kind == PromptUpdateKind::Ended);
    }
}

TEST_CASE("A request that crashes servers stops at the third", "[Gateway][ForwardController]")
{
    ForwardBench bench;
    for (const char *id : {"app-1", "app-2", "app-3", "app-4"})
        bench.addServer(id, "app");
    for (int round = 0; round < 4; ++round) {
        const std::size_t index = bench.sent.size();
        bench.request("/lookups/", {}, "poison");
        if (bench.sent.size() > index)
            bench.fail(index, HttpFailureKind::ConnectionLost, Verdict::MayHaveRun);
        if (bench.sent.size() > index + 1)
            bench.fail(index + 1, HttpFailureKind::ConnectionLost, Verdict::MayHaveRun);
    }
    CHECK(bench.sent.size() == 3);
    CHECK(bench.crashNotices.size() == 3);
    SECTION("with a refusal that is true: this request has not run")
    {
        const HttpCallId call = bench.request("/lookups/", {}, "poison");
        CHECK(bench.outcome(call).status == 503);
    }
    SECTION("while other requests go on")
    {
        bench.request("/lookups/", {}, "innocent");
        CHECK(bench.sent.size() == 4);
    }
}

TEST_CASE("A prompt larger than one memory reserves the rest first", "[Gateway][ForwardController]")
{
    ForwardBench bench;
    for (const char *id : {"e-1", "e-2", "e-3", "e-4", "e-5", "e-6", "e-7", "e-8"})
        bench.addServer(id, "engines");
    const HttpCallId call = bench.request("/archives/", {{"Tokens", "450000,700"}});
    REQUIRE_FALSE(bench.memoryOrders.empty());
    CHECK(bench.sent.empty());
    const std::vector<MemoryOrder> asked = bench.memoryOrders;

    SECTION("and is sent when all of it is granted")
    {
        for (const MemoryOrder &order : asked) {
            CHECK(bench.sent.empty());
            bench.controller.onMemoryAnswered(order.ticket, true, bench.now);
        }
        REQUIRE(bench.sent.size() == 1);
        std::size_t withTicket = 0;
        for (const auto &[name, value] : bench.sent[0].request.headers)
            withTicket += name == "Helper" && value.back() != '/' ? 1 : 0;
        CHECK(withTicket == asked.size());
        SECTION("the reservations are renewed while it runs")
        {
            bench.pass(milliseconds(1'600));
            CHECK(bench.memoryOrders.size() == 2 * asked.size());
            CHECK(bench.memoryOrders.back().tokens > 0);
        }
        SECTION("and given back at once when it ends")
        {
            bench.controller.onCallerGone(call, bench.now);
            CHECK(bench.memoryOrders.size() == 2 * asked.size());
            CHECK(bench.memoryOrders.back().tokens == 0);
        }
    }
    SECTION("and is refused as not run if any is not, with all of it given back")
    {
        bench.controller.onMemoryAnswered(asked[0].ticket, false, bench.now);
        CHECK(bench.outcome(call).status == 503);
        CHECK(bench.sent.empty());
        CHECK(bench.memoryOrders.back().tokens == 0);
    }
    SECTION("and is refused soon if an engine does not answer")
    {
        bench.pass(milliseconds(500));
        CHECK(bench.outcome(call).status == 503);
        CHECK(bench.memoryOrders.size() == 2 * asked.size());
    }
}

TEST_CASE("Operators see how long requests took", "[Gateway][ForwardController]")
{
    ForwardBench bench;
    bench.addServer("app-1", "app");
    bench.addServer("engine-1", "engines");
    const auto shows = [&bench](const std::string &line) {
        return bench.metrics.text().find(line) != std::string::npos;
    };

    SECTION("until their whole answer")
    {
        bench.request("/orders/");
        bench.pass(milliseconds(300));
        bench.serverAnswers(0, 200, Signed, "done");
        CHECK(shows("dotterel_request_seconds_count{span=\"answer\"} 1"));
        CHECK(shows("dotterel_request_seconds_sum{span=\"answer\"} 0.3"));
        CHECK(shows("dotterel_request_seconds_count{span=\"refusal\"} 0"));
    }
    SECTION("until they were refused")
    {
        bench.request("/nothing/");
        CHECK(shows("dotterel_request_seconds_count{span=\"refusal\"} 1"));
    }
    SECTION("until the first event of a stream, and between two")
    {
        bench.request("/questions/", {{"Tokens", "5000,100"}});
        REQUIRE(bench.sent.size() == 1);
        bench.pass(milliseconds(200));
        bench.controller.onAttemptHead(bench.sent[0].id, 200, Signed, bench.now);
        bench.controller.onAttemptData(bench.sent[0].id, event(1), bench.now);
        bench.pass(milliseconds(100));
        bench.controller.onAttemptData(bench.sent[0].id, event(2), bench.now);
        bench.controller.onAttemptComplete(bench.sent[0].id, bench.now);
        CHECK(shows("dotterel_first_token_seconds_sum{prompt_tokens=\"4k-16k\"} 0.2"));
        CHECK(shows("dotterel_request_seconds_sum{span=\"longest_pause\"} 0.1"));
    }
}
