#include "support/fleet.h"

#include <catch2/catch.hpp>

using namespace dotterel;
using namespace dotterel::support;

namespace {

constexpr std::uint64_t HugePrompt = 900'000; ///< More than twice the memory of an engine.
constexpr std::size_t Engines = 6;
constexpr double ReviewDeadlineSeconds = 30; ///< Deadline of the request class "review" in Fleet.

FleetShape shapeOf(std::size_t engines)
{
    FleetShape shape;
    shape.engines = engines;
    return shape;
}

std::uint64_t memoryHeld(Fleet &fleet, std::size_t engines)
{
    std::uint64_t tokens = 0;
    for (std::size_t i = 0; i < engines; ++i)
        tokens += fleet.engine(i).memoryHeld();
    return tokens;
}

void setSpeed(Fleet &fleet, std::size_t engines, double tokensPerSecond)
{
    fakes::EngineBehaviour behaviour;
    behaviour.prefillTokensPerSecond = tokensPerSecond;
    for (std::size_t i = 0; i < engines; ++i)
        fleet.engine(i).setBehaviour(behaviour);
}

/// A request with a huge prompt that has not ended yet.
struct PendingPrompt
{
    std::optional<HttpResponse> answer;
    bool done = false;
    std::unique_ptr<HttpFetch> fetch;
};

std::unique_ptr<PendingPrompt> begin(Fleet &fleet, std::size_t host)
{
    HttpRequest request;
    request.endpoint = fleet.host(host).callers();
    request.method = "POST";
    request.target = "/v1/completions";
    request.headers = {{"X-Workspace", "harinal"}, {"X-Request-Class", "review"}};
    request.body = std::make_shared<const std::string>(completionBody(HugePrompt));
    auto pending = std::make_unique<PendingPrompt>();
    PendingPrompt *const raw = pending.get();
    pending->fetch = std::make_unique<HttpFetch>(
            fleet.httpClient(), request,
            [raw](const std::optional<HttpResponse> &response, const HttpFailure &) {
                raw->answer = response;
                raw->done = true;
            });
    return pending;
}

bool isWhole(const std::optional<HttpResponse> &answer)
{
    return answer && answer->status == 200
           && answer->body.find("data: [DONE]") != std::string::npos;
}

bool memoryReturns(Fleet &fleet, std::size_t engines)
{
    return fleet.runUntil([&] { return memoryHeld(fleet, engines) == 0; }, std::chrono::seconds(8));
}

} // namespace

TEST_CASE("A prompt larger than the memory of one engine runs on several",
          "[EntryHost][GroupBackendClient]")
{
    Fleet fleet(shapeOf(Engines));
    setSpeed(fleet, Engines, 4'000'000);

    SECTION("the caller gets a complete response and all memory is released")
    {
        CHECK(isWhole(fleet.ask(0, HugePrompt, "review")));
        CHECK(memoryReturns(fleet, Engines));
    }
    SECTION("an engine with too little free memory is excluded from the next attempt")
    {
        fakes::EngineBehaviour small;
        small.memoryTokens = 100'000;
        for (std::size_t i = 0; i < Engines; ++i) {
            setSpeed(fleet, Engines, 4'000'000);
            fleet.engine(i).setBehaviour(small);
            const std::optional<HttpResponse> answer =
                    fleet.ask(i % fleet.hostCount(), HugePrompt, "review");
            CAPTURE(i, answer->body);
            CHECK(isWhole(answer));
        }
    }
    SECTION("two concurrent prompts through different hosts do not deadlock")
    {
        const std::unique_ptr<PendingPrompt> first = begin(fleet, 0);
        const std::unique_ptr<PendingPrompt> second = begin(fleet, 1);
        REQUIRE(fleet.runUntil([&] { return first->done && second->done; },
                               std::chrono::seconds(30)));
        CHECK((isWhole(first->answer) || isWhole(second->answer)));
        for (const PendingPrompt *prompt : {first.get(), second.get()}) {
            REQUIRE(prompt->answer);
            if (!isWhole(prompt->answer))
                CHECK(prompt->answer->body.find("\"verdict\":\"not_run\"") != std::string::npos);
        }
        CHECK(memoryReturns(fleet, Engines));
    }
    SECTION("a short question is served while a group is running")
    {
        setSpeed(fleet, Engines, 400'000);
        const std::unique_ptr<PendingPrompt> huge = begin(fleet, 0);
        REQUIRE(fleet.runUntil([&] { return memoryHeld(fleet, Engines) > 0; }));
        CHECK(isWhole(fleet.ask(1, 1'000)));
        CHECK_FALSE(huge->done);
    }
    SECTION("during the prefill of the parts")
    {
        setSpeed(fleet, Engines, 400'000);
        std::unique_ptr<PendingPrompt> huge = begin(fleet, 0);
        REQUIRE(fleet.runUntil([&] { return memoryHeld(fleet, Engines) >= HugePrompt; }));

        SECTION("the caller disconnects, and all memory is released")
        {
            huge.reset();
            CHECK(memoryReturns(fleet, Engines));
        }
        SECTION("its entry host is killed, and another one releases the memory")
        {
            fleet.killHost(0);
            CHECK(memoryReturns(fleet, Engines));
        }
        SECTION("two engines freeze, and the request ends by its deadline and its memory is "
                "released")
        {
            fakes::EngineBehaviour frozen;
            frozen.frozen = true;
            for (std::size_t i = 0; i < 2; ++i)
                fleet.engine(i).setBehaviour(frozen);
            REQUIRE(fleet.runUntil([&] { return huge->done; },
                                   fromSeconds(ReviewDeadlineSeconds + 1)));
            setSpeed(fleet, Engines, 400'000);
            CHECK(memoryReturns(fleet, Engines));
        }
    }
}

TEST_CASE("A prompt larger than the memory of all engines is refused without reserving memory",
          "[EntryHost][GroupBackendClient]")
{
    Fleet fleet(shapeOf(2));
    const std::optional<HttpResponse> answer = fleet.ask(0, HugePrompt, "review");
    REQUIRE(answer);
    CHECK(answer->status == 503);
    CHECK_FALSE(answer->header("Retry-After").empty());
    CHECK(answer->body.find("\"verdict\":\"not_run\"") != std::string::npos);
    CHECK(memoryHeld(fleet, 2) == 0);
}
