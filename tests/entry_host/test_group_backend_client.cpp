#include "support/fleet.h"

#include <catch2/catch.hpp>

using namespace dotterel;
using namespace dotterel::support;

namespace {

constexpr std::uint64_t HugePromptTokens = 900'000; ///< More than twice the memory of an engine.
constexpr std::size_t EngineCount = 6;
constexpr double ReviewDeadlineSeconds = 30; ///< Deadline of the request class "review" in Fleet.

FleetShape shapeWithEngines(std::size_t engines)
{
    FleetShape shape;
    shape.engines = engines;
    return shape;
}

std::uint64_t totalMemoryHeld(Fleet &fleet, std::size_t engines)
{
    std::uint64_t tokens = 0;
    for (std::size_t i = 0; i < engines; ++i)
        tokens += fleet.engine(i).memoryHeld();
    return tokens;
}

void setPrefillSpeed(Fleet &fleet, std::size_t engines, double tokensPerSecond)
{
    fakes::EngineBehaviour behaviour;
    behaviour.prefillTokensPerSecond = tokensPerSecond;
    for (std::size_t i = 0; i < engines; ++i)
        fleet.engine(i).setBehaviour(behaviour);
}

/// A request with a huge prompt that has not ended yet.
struct PendingPrompt
{
    std::optional<HttpResponse> response;
    bool done = false;
    std::unique_ptr<HttpFetch> fetch;
};

std::unique_ptr<PendingPrompt> startHugePrompt(Fleet &fleet, std::size_t host)
{
    HttpRequest request;
    request.endpoint = fleet.host(host).callers();
    request.method = "POST";
    request.target = "/v1/completions";
    request.headers = {{"X-Workspace", "harinal"}, {"X-Request-Class", "review"}};
    request.body = std::make_shared<const std::string>(completionBody(HugePromptTokens));
    auto pending = std::make_unique<PendingPrompt>();
    PendingPrompt *const pendingPrompt = pending.get();
    pending->fetch = std::make_unique<HttpFetch>(
            fleet.httpClient(), request,
            [pendingPrompt](const std::optional<HttpResponse> &response, const HttpFailure &) {
                pendingPrompt->response = response;
                pendingPrompt->done = true;
            });
    return pending;
}

bool isComplete(const std::optional<HttpResponse> &response)
{
    return response && response->status == 200
           && response->body.find("data: [DONE]") != std::string::npos;
}

bool allMemoryReleased(Fleet &fleet, std::size_t engines)
{
    return fleet.runUntil([&] { return totalMemoryHeld(fleet, engines) == 0; },
                          std::chrono::seconds(8));
}

} // namespace

TEST_CASE("A prompt larger than the memory of one engine runs on several",
          "[EntryHost][GroupBackendClient]")
{
    Fleet fleet(shapeWithEngines(EngineCount));
    setPrefillSpeed(fleet, EngineCount, 4'000'000);

    SECTION("the caller gets a complete response and all memory is released")
    {
        CHECK(isComplete(fleet.ask(0, HugePromptTokens, "review")));
        CHECK(allMemoryReleased(fleet, EngineCount));
    }
    SECTION("an engine with too little free memory is excluded from the next attempt")
    {
        fakes::EngineBehaviour smallMemory;
        smallMemory.memoryTokens = 100'000;
        for (std::size_t i = 0; i < EngineCount; ++i) {
            setPrefillSpeed(fleet, EngineCount, 4'000'000);
            fleet.engine(i).setBehaviour(smallMemory);
            const std::optional<HttpResponse> response =
                    fleet.ask(i % fleet.hostCount(), HugePromptTokens, "review");
            CAPTURE(i, response->body);
            CHECK(isComplete(response));
        }
    }
    SECTION("two concurrent prompts through different hosts do not deadlock")
    {
        const std::unique_ptr<PendingPrompt> first = startHugePrompt(fleet, 0);
        const std::unique_ptr<PendingPrompt> second = startHugePrompt(fleet, 1);
        REQUIRE(fleet.runUntil([&] { return first->done && second->done; },
                               std::chrono::seconds(30)));
        CHECK((isComplete(first->response) || isComplete(second->response)));
        for (const PendingPrompt *prompt : {first.get(), second.get()}) {
            REQUIRE(prompt->response);
            if (!isComplete(prompt->response))
                CHECK(prompt->response->body.find("\"verdict\":\"not_run\"") != std::string::npos);
        }
        CHECK(allMemoryReleased(fleet, EngineCount));
    }
    SECTION("a short question is served while a group is running")
    {
        setPrefillSpeed(fleet, EngineCount, 400'000);
        const std::unique_ptr<PendingPrompt> hugePrompt = startHugePrompt(fleet, 0);
        REQUIRE(fleet.runUntil([&] { return totalMemoryHeld(fleet, EngineCount) > 0; }));
        CHECK(isComplete(fleet.ask(1, 1'000)));
        CHECK_FALSE(hugePrompt->done);
    }
    SECTION("during the prefill of the parts")
    {
        setPrefillSpeed(fleet, EngineCount, 400'000);
        std::unique_ptr<PendingPrompt> hugePrompt = startHugePrompt(fleet, 0);
        REQUIRE(fleet.runUntil(
                [&] { return totalMemoryHeld(fleet, EngineCount) >= HugePromptTokens; }));

        SECTION("the caller disconnects, and all memory is released")
        {
            hugePrompt.reset();
            CHECK(allMemoryReleased(fleet, EngineCount));
        }
        SECTION("its entry host is killed, and another one releases the memory")
        {
            fleet.killHost(0);
            CHECK(allMemoryReleased(fleet, EngineCount));
        }
        SECTION("two engines freeze, and the request ends by its deadline and its memory is "
                "released")
        {
            fakes::EngineBehaviour frozen;
            frozen.frozen = true;
            for (std::size_t i = 0; i < 2; ++i)
                fleet.engine(i).setBehaviour(frozen);
            REQUIRE(fleet.runUntil([&] { return hugePrompt->done; },
                                   fromSeconds(ReviewDeadlineSeconds + 1)));
            setPrefillSpeed(fleet, EngineCount, 400'000);
            CHECK(allMemoryReleased(fleet, EngineCount));
        }
    }
}

TEST_CASE("A prompt larger than the memory of all engines is refused without reserving memory",
          "[EntryHost][GroupBackendClient]")
{
    Fleet fleet(shapeWithEngines(2));
    const std::optional<HttpResponse> response = fleet.ask(0, HugePromptTokens, "review");
    REQUIRE(response);
    CHECK(response->status == 503);
    CHECK_FALSE(response->header("Retry-After").empty());
    CHECK(response->body.find("\"verdict\":\"not_run\"") != std::string::npos);
    CHECK(totalMemoryHeld(fleet, 2) == 0);
}
