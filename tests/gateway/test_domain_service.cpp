#include "gateway/domain_service.h"

#include "support/forward_bench.h"

#include <catch2/catch.hpp>

using namespace dotterel;
using namespace dotterel::support;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Domains = std::set<std::string>;

namespace {

const HttpHeaders Signed = {{"Signed", "s"}};

CollectionObject entry(const std::string &domain, std::uint64_t revision, std::uint64_t era = 1)
{
    return {domain, revision, false, "{}", era};
}

CollectionObject removal(const std::string &domain, std::uint64_t revision, std::uint64_t era = 1)
{
    return {domain, revision, true, "", era};
}

/// Two servers of each pool in each of the failure domains a and b.
struct TwoDomains : public ForwardBench
{
    TwoDomains()
    {
        for (const char *domain : {"a", "b"}) {
            for (const char *pool : {"app", "engines"}) {
                for (const char *number : {"1", "2"})
                    this->put(std::string(domain) + "-" + pool + number, pool, domain);
            }
        }
    }

    void put(const ServerId &id, const std::string &pool, const std::string &domain)
    {
        GatewayServer server;
        server.id = id;
        server.pool = pool;
        server.failureDomain = domain;
        server.endpoint = {"127.0.0.1", 80};
        server.slots = 6;
        this->fleet.put(server, this->now);
    }

    /// Returns the failure domain of the server of attempt number \a index.
    std::string domainOf(std::size_t index) const
    {
        return this->sentAttempts.at(index).header("Server").substr(0, 1);
    }

    /// Returns how many attempts from number \a first on went to \a domain.
    std::size_t attemptsTo(const std::string &domain, std::size_t first) const
    {
        std::size_t count = 0;
        for (std::size_t index = first; index < this->sentAttempts.size(); ++index)
            count += this->domainOf(index) == domain ? 1 : 0;
        return count;
    }
};

} // namespace

TEST_CASE("Failure domains are out of service while the store has an entry for them",
          "[Gateway][DomainService]")
{
    NullEventLog log;
    DomainService service(DomainServiceTimings{}, log);
    TimePoint now{seconds(100)};
    CHECK(service.outOfService().empty());
    REQUIRE(service.apply({entry("a", 10)}, "store", now));
    CHECK(service.outOfService() == Domains{"a"});

    SECTION("whatever the entry contains, also for a domain that no server is in")
    {
        CollectionObject unreadable = entry("elsewhere", 11);
        unreadable.text = "\xff[";
        CHECK(service.apply({unreadable}, "peer", now));
        CHECK(service.outOfService() == Domains{"a", "elsewhere"});
    }
    SECTION("an entry without a name is ignored")
    {
        CHECK_FALSE(service.apply({entry("", 11)}, "store", now));
        CHECK(service.outOfService() == Domains{"a"});
    }
    SECTION("writing it again changes nothing, removing it ends it at once")
    {
        CHECK_FALSE(service.apply({entry("a", 12)}, "store", now));
        CHECK_FALSE(service.apply({removal("b", 13)}, "store", now));
        CHECK(service.apply({removal("a", 14)}, "peer", now));
        CHECK(service.outOfService().empty());
    }
    SECTION("if the store comes back from a copy that lacks it, it stays in force for a while")
    {
        CHECK_FALSE(service.apply({removal("a", 5, 2)}, "store", now));
        CHECK(service.outOfService() == Domains{"a"});
        REQUIRE(service.nextTimer());
        const TimePoint end = *service.nextTimer();
        CHECK_FALSE(service.onTimer(end - milliseconds(1)));

        SECTION("then it ends")
        {
            CHECK_FALSE(service.apply({removal("a", 6, 2)}, "peer", now + seconds(1)));
            CHECK(service.nextTimer() == end);
            CHECK(service.onTimer(end));
            CHECK(service.outOfService().empty());
            CHECK_FALSE(service.nextTimer());
        }
        SECTION("written again, it holds until it is removed")
        {
            CHECK_FALSE(service.apply({entry("a", 6, 2)}, "store", now));
            CHECK_FALSE(service.nextTimer());
            CHECK(service.apply({removal("a", 7, 2)}, "store", now));
            CHECK(service.outOfService().empty());
        }
    }
    SECTION("an entry that a copy brings back is in force")
    {
        service.apply({removal("a", 20)}, "store", now);
        CHECK(service.apply({entry("a", 10, 2)}, "store", now));
        CHECK(service.outOfService() == Domains{"a"});
    }
}

TEST_CASE("Nothing new is sent to servers of a failure domain that is out of service",
          "[Gateway][DomainService]")
{
    TwoDomains bench;
    const HttpHeaders prompt = {{"Tokens", "5000,1300"}};

    SECTION("no request, whatever its route, and the servers stay known")
    {
        bench.fleet.setDomainsOutOfService({"a"});
        for (int count = 0; count < 20; ++count) {
            bench.request("/orders/");
            bench.request("/lookups/");
            bench.request("/questions/", prompt);
        }
        CHECK(bench.attemptsTo("b", 0) == bench.sentAttempts.size());
        CHECK(bench.sentAttempts.size() >= 40);
        CHECK_FALSE(bench.fleet.isUsable("a-app1", bench.now));
        CHECK(bench.fleet.all(bench.now).size() == 8);
        CHECK(bench.fleet.size("app", bench.now) == 2);

        SECTION("until it is in service again")
        {
            const std::size_t before = bench.sentAttempts.size();
            bench.fleet.setDomainsOutOfService({});
            for (int count = 0; count < 40; ++count)
                bench.request("/lookups/");
            CHECK(bench.attemptsTo("a", before) > 0);
        }
    }
    SECTION("no retry, even if all other servers have failed or are suspected")
    {
        bench.fleet.setDomainsOutOfService({"a"});
        for (const char *id : {"b-app1", "b-app2"})
            bench.fleet.onAttemptOutcome(id, AttemptOutcome::Unreachable, bench.now);
        const HttpCallId call = bench.request("/lookups/");
        bench.respond(0, 500, Signed, "");
        bench.respond(1, 500, Signed, "");
        CHECK(bench.attemptsTo("a", 0) == 0);
        CHECK(bench.outcome(call).status == 500);
    }
    SECTION("no repeat at a server that closed an idle connection")
    {
        bench.request("/lookups/");
        const std::string domain = bench.domainOf(0);
        bench.fleet.setDomainsOutOfService({domain});
        bench.failAttempt(0, HttpFailureKind::ConnectionLost, Verdict::MayHaveRun, true);
        REQUIRE(bench.sentAttempts.size() == 2);
        CHECK(bench.attemptsTo(domain, 1) == 0);
    }
    SECTION("a stream that runs there goes on, and is resumed elsewhere if it breaks")
    {
        bench.request("/questions/", prompt);
        const std::string domain = bench.domainOf(0);
        const ForwardAttemptId attempt = bench.sentAttempts[0].id;
        bench.controller.onAttemptHead(attempt, 200, Signed, bench.now);
        bench.controller.onAttemptData(attempt, "id: 7\ndata: x\n\n", bench.now);
        bench.fleet.setDomainsOutOfService({domain});
        bench.advanceTime(milliseconds(500));
        bench.controller.onAttemptData(attempt, "id: 8\ndata: x\n\n", bench.now);
        CHECK_FALSE(bench.sentAttempts[0].cancelled);
        CHECK(bench.sentAttempts.size() == 1);
        bench.failAttempt(0, HttpFailureKind::ResponseTruncated, Verdict::MayHaveRun);
        REQUIRE(bench.sentAttempts.size() == 2);
        CHECK(bench.attemptsTo(domain, 1) == 0);
    }
    SECTION("if all domains are out, requests are refused at once as not run, to return later")
    {
        bench.fleet.setDomainsOutOfService({"a", "b"});
        for (const char *target : {"/orders/", "/lookups/", "/questions/"}) {
            CAPTURE(target);
            const HttpCallId call = bench.request(target, prompt);
            CHECK(bench.outcome(call).status == 503);
            const std::string *delay = findHeader(bench.outcome(call).headers, "Retry-After-Ms");
            REQUIRE(delay != nullptr);
            CHECK(std::stoi(*delay) >= 2'000);
        }
        CHECK(bench.sentAttempts.empty());
    }
}

TEST_CASE("A prompt whose engines go out of service while it waits for memory is placed again",
          "[Gateway][DomainService]")
{
    TwoDomains bench;
    for (const char *domain : {"a", "b"}) {
        for (const char *number : {"3", "4", "5", "6", "7", "8"})
            bench.put(std::string(domain) + "-engines" + number, "engines", domain);
    }
    bench.fleet.setDomainsOutOfService({"b"});
    bench.request("/archives/", {{"Tokens", "450000,700"}});
    const std::vector<MemoryReservationRequest> first = bench.reservationRequests;
    REQUIRE_FALSE(first.empty());

    bench.fleet.setDomainsOutOfService({"a"});
    for (const MemoryReservationRequest &request : first)
        bench.controller.onReservationResult(request.reservationId, true, bench.now);
    CHECK(bench.sentAttempts.empty());
    REQUIRE(bench.reservationRequests.size() > 2 * first.size());
    for (std::size_t index = first.size(); index < bench.reservationRequests.size(); ++index) {
        const MemoryReservationRequest &request = bench.reservationRequests[index];
        // What was reserved is released; only that still goes to the domain.
        CHECK((request.tokens == 0) == (request.server.front() == 'a'));
        if (request.tokens > 0)
            bench.controller.onReservationResult(request.reservationId, true, bench.now);
    }
    REQUIRE(bench.sentAttempts.size() == 1);
    CHECK(bench.domainOf(0) == "b");
}
