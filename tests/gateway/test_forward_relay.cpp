#include "support/forward_bench.h"

#include <catch2/catch.hpp>

using namespace dotterel;
using namespace dotterel::support;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const HttpHeaders Signed = {{"Signed", "s"}};

/// A host that reaches no server, with two others that may.
struct RelayBench : ForwardBench
{
    RelayBench()
    {
        for (int server = 0; server < 3; ++server) {
            this->addServer("app-" + std::to_string(server), "app");
            this->addServer("engine-" + std::to_string(server), "engines");
        }
        this->relayPeers.setLive(
                {{"h2", "centro-a", {"10.0.0.2", 1}, 2}, {"h3", "centro-a", {"10.0.0.3", 1}, 3}});
        for (const char *pool : {"app", "engines"}) {
            for (const char *server : {"x", "y", "z"})
                this->reach.onFailure(pool, server, 3, this->now, this->now);
            this->reach.onProbe(pool, "x", false, this->now);
        }
    }

    const SentAttempt &last() const { return this->sentAttempts.back(); }
    std::size_t lastIndex() const { return this->sentAttempts.size() - 1; }
    bool isLastRelayed() const { return this->last().request.endpoint.port == 1; }

    HttpHeaders refusal(Verdict verdict, Reason reason) const
    {
        HttpHeaders headers;
        addRelayRefusal(headers, {verdict, reason, milliseconds(700)});
        return headers;
    }
};

RelayEnvelope envelope()
{
    RelayEnvelope result;
    result.origin = "h9";
    result.pool = "app";
    result.workspace = "cakes";
    result.timeLeft = milliseconds(900);
    return result;
}

HttpMessageHead head(const std::string &target)
{
    HttpMessageHead result;
    result.method = "POST";
    result.target = target;
    result.headers = {{"Host", "shop"}, {"Id", "r1"}};
    return result;
}

} // namespace

TEST_CASE("A host that reaches no server hands requests to another one", "[Gateway][Relay]")
{
    RelayBench bench;

    SECTION("without the key, with what was checked and what is left of the deadline")
    {
        const HttpCallId call =
                bench.request("/lookups/1", {{"Dotterel-Relay-Workspace", "other"}});
        REQUIRE(bench.isLastRelayed());
        CHECK(bench.last().header("Key").empty());
        HttpHeaders headers = bench.last().request.headers;
        const auto sent = takeRelayEnvelope(headers);
        REQUIRE(sent);
        CHECK(sent->workspace == "cakes");
        CHECK(sent->pool == "app");
        CHECK(sent->timeLeft == seconds(2));
        bench.respond(0, 200, Signed, "done");
        CHECK(bench.outcome(call).status == 200);
        CHECK(bench.outcome(call).body == "done");
    }
    SECTION("an error of a server is passed on as it is, since the other host has tried again")
    {
        const HttpCallId call = bench.request("/lookups/1");
        bench.respond(0, 500, Signed, "error");
        CHECK(bench.sentAttempts.size() == 1);
        CHECK(bench.outcome(call).status == 500);
    }
    SECTION("a host that reaches none either is asked once, then the next")
    {
        const HttpCallId call = bench.request("/orders/1");
        bench.respond(0, 503, bench.refusal(Verdict::NotRun, Reason::ServiceOutOfReach), "");
        REQUIRE(bench.sentAttempts.size() == 2);
        CHECK(bench.sentAttempts[0].request.endpoint.address
              != bench.sentAttempts[1].request.endpoint.address);
        bench.respond(1, 503, bench.refusal(Verdict::NotRun, Reason::ServiceOutOfReach), "");
        CHECK(bench.outcome(call).status == 503);
        const HttpCallId next = bench.request("/orders/1");
        CHECK(bench.sentAttempts.size() == 2);
        CHECK(bench.outcome(next).status == 503);
    }
    SECTION("another refusal is final, with its delay")
    {
        const HttpCallId call = bench.request("/lookups/1");
        bench.respond(0, 503, bench.refusal(Verdict::NotRun, Reason::DeadlineUnreachable), "");
        CHECK(bench.sentAttempts.size() == 1);
        CHECK(bench.outcome(call).status == 503);
        const std::string *delay = findHeader(bench.outcome(call).headers, "Retry-After-Ms");
        REQUIRE(delay != nullptr);
        CHECK(*delay == "700");
    }
    SECTION("an order whose hop is lost before it was sent goes to the next host")
    {
        bench.request("/orders/1");
        bench.failAttempt(0, HttpFailureKind::ConnectFailed, Verdict::NotRun);
        CHECK(bench.sentAttempts.size() == 2);
    }
    SECTION("an order whose hop is lost later may have run")
    {
        const HttpCallId call = bench.request("/orders/1");
        bench.failAttempt(0, HttpFailureKind::ConnectionLost, Verdict::MayHaveRun);
        CHECK(bench.sentAttempts.size() == 1);
        CHECK(bench.outcome(call).status == 502);
        CHECK(bench.crashNotices.empty());
    }
    SECTION("a stream whose hop is lost goes on through the next host")
    {
        const HttpCallId call = bench.request("/questions/1", {{"Tokens", "2000,10"}});
        REQUIRE(bench.isLastRelayed());
        bench.controller.onAttemptHead(bench.last().id, 200, Signed, bench.now);
        bench.controller.onAttemptData(bench.last().id, "id: 1\ndata: a\n\n", bench.now);
        bench.failAttempt(0, HttpFailureKind::ConnectionLost, Verdict::MayHaveRun);
        REQUIRE(bench.sentAttempts.size() == 2);
        HttpHeaders headers = bench.last().request.headers;
        CHECK(takeRelayEnvelope(headers)->resumeAfter == 1U);
        bench.respond(1, 200, Signed, "id: 2\ndata: b\n\n");
        CHECK(bench.outcome(call).body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        CHECK(bench.outcome(call).ended);
    }
    SECTION("a caller that leaves ends the hop")
    {
        const HttpCallId call = bench.request("/lookups/1");
        bench.controller.onCallerDisconnected(call, bench.now);
        CHECK(bench.last().cancelled);
    }
    SECTION("a request of another host is not handed on")
    {
        bench.controller.onRelayedRequest(900, head("/lookups/1"),
                                          std::make_shared<const std::string>(), envelope(),
                                          bench.now);
        CHECK(bench.sentAttempts.empty());
        const auto refusal = parseRelayRefusal(bench.outcome(900).headers);
        REQUIRE(refusal);
        CHECK(refusal->verdict == Verdict::NotRun);
        CHECK(refusal->reason == Reason::ServiceOutOfReach);
    }
    SECTION("two answered probes in a row bring the servers back")
    {
        bench.reach.onProbe("app", "x", true, bench.now);
        bench.reach.onProbe("app", "x", false, bench.now);
        bench.reach.onProbe("app", "x", true, bench.now);
        CHECK(bench.reach.isOutOfReach("app"));
        bench.reach.onProbe("app", "x", true, bench.now);
        CHECK_FALSE(bench.reach.isOutOfReach("app"));
        bench.request("/lookups/1");
        CHECK_FALSE(bench.isLastRelayed());
    }
}

TEST_CASE("A host takes over requests of others", "[Gateway][Relay]")
{
    ForwardBench bench;
    bench.addServer("app-1", "app");
    RelayEnvelope request = envelope();

    SECTION("with the workspace and the deadline of the origin, and no key")
    {
        bench.controller.onRelayedRequest(
                900, head("/lookups/1"), std::make_shared<const std::string>(), request, bench.now);
        REQUIRE(bench.sentAttempts.size() == 1);
        CHECK(bench.sentAttempts[0].header("Workspace") == "cakes");
        CHECK(bench.sentAttempts[0].header("Left-Ms") == "900");
        bench.respond(0, 200, Signed, "done");
        CHECK(bench.outcome(900).status == 200);
        CHECK_FALSE(parseRelayRefusal(bench.outcome(900).headers));
    }
    SECTION("within the attempts that the route allows over both hosts")
    {
        request.attemptsSent = 1;
        bench.controller.onRelayedRequest(
                900, head("/lookups/1"), std::make_shared<const std::string>(), request, bench.now);
        bench.failAttempt(0, HttpFailureKind::ConnectionLost, Verdict::MayHaveRun);
        CHECK(bench.sentAttempts.size() == 1);
        const auto refusal = parseRelayRefusal(bench.outcome(900).headers);
        REQUIRE(refusal);
        CHECK(refusal->verdict == Verdict::MayHaveRun);
    }
    SECTION("a route or pool that it does not have is refused as not run")
    {
        request.pool = "unknown";
        bench.controller.onRelayedRequest(
                900, head("/lookups/1"), std::make_shared<const std::string>(), request, bench.now);
        const auto refusal = parseRelayRefusal(bench.outcome(900).headers);
        REQUIRE(refusal);
        CHECK(refusal->verdict == Verdict::NotRun);
        CHECK(refusal->reason == Reason::NoConfiguration);
    }
}

TEST_CASE("An envelope with a missing or invalid header is rejected", "[Gateway][Relay]")
{
    const HttpHeaders whole = withRelayEnvelope({}, envelope());
    for (std::size_t index = 0; index < whole.size(); ++index) {
        HttpHeaders headers = whole;
        headers.erase(headers.begin() + static_cast<std::ptrdiff_t>(index));
        CAPTURE(whole[index].first);
        CHECK_FALSE(takeRelayEnvelope(headers));
    }
    for (const char *value : {"", "-1", "1x", "99999999999999"}) {
        HttpHeaders headers = whole;
        for (auto &header : headers) {
            if (header.first == "Dotterel-Relay-Time-Left")
                header.second = value;
        }
        CAPTURE(value);
        CHECK_FALSE(takeRelayEnvelope(headers));
    }
}

TEST_CASE("Hosts are chosen for relayed requests by domain, reach and load", "[Gateway][Relay]")
{
    SeededRandom random(3);
    RelayPeers peers("a", random);
    const TimePoint now{seconds(100)};
    peers.setLive({{"a1", "a", {"10.0.0.1", 1}, 1},
                   {"a2", "a", {"10.0.0.2", 1}, 2},
                   {"a3", "a", {"10.0.0.3", 1}, 3},
                   {"b1", "b", {"10.0.0.4", 1}, 4}});
    const auto chosen = [&](TimePoint time) {
        std::set<HostId> hosts;
        for (int count = 0; count < 100; ++count)
            hosts.insert(peers.choose("app", {}, time)->host);
        return hosts;
    };
    CHECK(chosen(now) == std::set<HostId>{"a1", "a2", "a3"});

    SECTION("all domains once most of the own one does not reach the pool")
    {
        peers.onRefused("a1", "app", now);
        CHECK(chosen(now) == std::set<HostId>{"a2", "a3"});
        peers.onRefused("a2", "app", now);
        CHECK(chosen(now) == std::set<HostId>{"a3", "b1"});
        CHECK(chosen(now + seconds(2)) == std::set<HostId>{"a1", "a2", "a3"});
    }
    SECTION("one that cannot be connected to is left out for a second")
    {
        peers.onUnreachable("a1", now);
        CHECK(chosen(now).count("a1") == 0);
        CHECK(chosen(now + milliseconds(1'100)).count("a1") == 1);
    }
    SECTION("the less loaded of two")
    {
        for (int count = 0; count < 5; ++count)
            peers.onSent("a1");
        std::size_t loaded = 0;
        for (int count = 0; count < 300; ++count)
            loaded += peers.choose("app", {}, now)->host == "a1" ? 1 : 0;
        CHECK(loaded < 60);
    }
    SECTION("none of those that were asked already")
    {
        CHECK_FALSE(peers.choose("app", {"a1", "a2", "a3", "b1"}, now));
    }
}
