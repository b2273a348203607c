// Responses without end: what is held of them is bounded, per response and in sum.

#include "support/forward_bench.h"

#include <catch2/catch.hpp>

using namespace dotterel;
using namespace dotterel::support;

namespace {

const HttpHeaders Signed = {{"Signed", "s"}};
const HttpHeaders NotRun = {{"Not-Run", "1"}};
const std::string Piece(16UL * 1024, 'x');
/// Far more than any limit.
constexpr int FloodPieces = 1'000;

ResponseLimits smallLimits()
{
    ResponseLimits limits;
    limits.maxHeldBytes = 64UL * 1024;
    limits.maxTotalHeldBytes = 256UL * 1024;
    return limits;
}

/// A bench whose first server sends a response without end.
struct FloodBench : ForwardBench
{
    explicit FloodBench(const std::string &target)
    {
        this->addServer("app-1", "app");
        this->addServer("app-2", "app");
        this->addServer("engine-1", "engines");
        this->addServer("engine-2", "engines");
        this->controller.setResponseLimits(smallLimits());
        this->call = this->request(target, {{"Tokens", "5000,1300"}});
    }

    /// Returns the most bytes that were held at any time.
    std::size_t flood(int status, const HttpHeaders &headers)
    {
        const ForwardAttemptId id = this->sentAttempts[0].id;
        std::size_t mostBytes = 0;
        this->controller.onAttemptHead(id, status, headers, this->now);
        for (int piece = 0; piece < FloodPieces; ++piece) {
            this->controller.onAttemptData(id, Piece, this->now);
            mostBytes = std::max(mostBytes, this->controller.heldBytes());
        }
        return mostBytes;
    }

    HttpCallId call = 0;
};

const std::size_t MaxHeldWithOnePiece = smallLimits().maxHeldBytes + Piece.size();

} // namespace

TEST_CASE("A response without end is cut off at a limit", "[Gateway][ResponseLimits]")
{
    SECTION("a refusal is a refusal, and the connection is closed")
    {
        FloodBench bench("/lookups/");
        CHECK(bench.flood(503, NotRun) <= MaxHeldWithOnePiece);
        CHECK(bench.sentAttempts[0].cancelled);
        REQUIRE(bench.sentAttempts.size() == 2);
        bench.respond(1, 200, Signed, "done");
        CHECK(bench.outcome(bench.call).body == "done");
    }
    SECTION("an order that was refused this way has not run")
    {
        FloodBench bench("/orders/");
        bench.flood(503, NotRun);
        CHECK(bench.sentAttempts[0].cancelled);
        CHECK(bench.outcome(bench.call).status == 503);
    }
    SECTION("an error response and one that cannot be passed on may have run")
    {
        const std::vector<std::pair<int, HttpHeaders>> responses = {
                {500, Signed}, {503, Signed}, {200, {}}};
        for (const auto &[status, headers] : responses) {
            CAPTURE(status);
            FloodBench bench("/orders/");
            CHECK(bench.flood(status, headers) <= MaxHeldWithOnePiece);
            CHECK(bench.sentAttempts[0].cancelled);
            CHECK(bench.outcome(bench.call).status == 502);
            CHECK(bench.outcome(bench.call).body.empty());
        }
    }
    SECTION("an event without end breaks its stream")
    {
        FloodBench bench("/questions/");
        const ForwardAttemptId id = bench.sentAttempts[0].id;
        bench.controller.onAttemptHead(id, 200, Signed, bench.now);
        bench.controller.onAttemptData(id, "id: 1\ndata: x\n\n", bench.now);
        CHECK(bench.flood(200, Signed) <= MaxHeldWithOnePiece);
        CHECK(bench.sentAttempts[0].cancelled);
        REQUIRE(bench.sentAttempts.size() == 2);
        CHECK(bench.sentAttempts[1].header("After") == "1");
        CHECK(bench.crashNotices.empty());
        CHECK(bench.outcome(bench.call).body == "id: 1\ndata: x\n\n");
    }
    SECTION("a genuine response is passed on from the limit on, also an error of the caller")
    {
        for (const int status : {200, 404}) {
            CAPTURE(status);
            FloodBench bench("/lookups/");
            CHECK(bench.flood(status, Signed) <= MaxHeldWithOnePiece);
            CHECK_FALSE(bench.sentAttempts[0].cancelled);
            CHECK(bench.outcome(bench.call).status == status);
            CHECK(bench.outcome(bench.call).body.size() == FloodPieces * Piece.size());
        }
    }
}

TEST_CASE("All responses together hold a bounded number of bytes", "[Gateway][ResponseLimits]")
{
    FloodBench bench("/lookups/");
    constexpr std::size_t Floods = 100;
    for (std::size_t index = 1; index < Floods; ++index)
        bench.request("/lookups/");
    const HttpCallId innocent = bench.request("/lookups/");
    REQUIRE(bench.sentAttempts.size() == Floods + 1);
    const ForwardAttemptId innocentAttempt = bench.sentAttempts.back().id;
    bench.controller.onAttemptHead(innocentAttempt, 200, Signed, bench.now);
    bench.controller.onAttemptData(innocentAttempt, "half", bench.now);

    std::size_t mostBytes = 0;
    for (std::size_t index = 0; index < Floods; ++index)
        bench.controller.onAttemptHead(bench.sentAttempts[index].id, 500, Signed, bench.now);
    for (int piece = 0; piece < 3; ++piece) {
        for (std::size_t index = 0; index < Floods; ++index) {
            bench.controller.onAttemptData(bench.sentAttempts[index].id, Piece, bench.now);
            mostBytes = std::max(mostBytes, bench.controller.heldBytes());
        }
    }
    CHECK(mostBytes <= smallLimits().maxTotalHeldBytes + Piece.size());
    bench.controller.onAttemptData(innocentAttempt, " and half", bench.now);
    bench.controller.onAttemptComplete(innocentAttempt, bench.now);
    CHECK(bench.outcome(innocent).body == "half and half");
    CHECK(bench.outcome(innocent).ended);
    bench.advanceTime(std::chrono::seconds(5));
    CHECK(bench.controller.inFlight() == 0);
    CHECK(bench.controller.heldBytes() == 0);
}
