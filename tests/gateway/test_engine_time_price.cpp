#include "gateway/engine_time_price.h"

#include "gateway/prompt_placement.h"
#include "support/forward_bench.h"

#include <catch2/catch.hpp>

using namespace dotterel;
using namespace dotterel::support;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

PromptDemand question()
{
    PromptDemand demand;
    demand.promptTokens = 5'000;
    demand.outputTokens = 400;
    demand.firstEventTarget = milliseconds(300);
    demand.maxEventGap = milliseconds(200);
    demand.callerTimeLeft = seconds(2);
    demand.value = 0.7;
    return demand;
}

/// Earns less for the time of an engine than question().
PromptDemand document()
{
    PromptDemand demand = question();
    demand.promptTokens = 150'000;
    demand.firstEventTarget = seconds(4);
    demand.maxEventGap = milliseconds(800);
    demand.callerTimeLeft = seconds(16);
    demand.value = 11;
    return demand;
}

double valuePerSecond(const PromptDemand &demand)
{
    return demand.value / engineSecondsOf(dataSheetEngine(), demand);
}

} // namespace

TEST_CASE("Engine time costs what denser prompts earn with it", "[Gateway][EngineTimePrice]")
{
    EngineTimePrice price;
    TimePoint now{seconds(100)};
    const auto dispatch = [&](const PromptDemand &demand, Duration duration) {
        for (const TimePoint end = now + duration; now < end; now += milliseconds(10))
            price.onDispatched(dataSheetEngine(), demand, now);
    };
    const double documentSeconds = engineSecondsOf(dataSheetEngine(), document());

    SECTION("nothing without recent prompts")
    {
        const DenserPrompts denser = price.denserPrompts(0, now);
        CHECK(denser.busyEngines == 0);
        CHECK(EngineTimePrice::price(denser, 0, 40, documentSeconds) == 0);
    }
    SECTION("and the more, the fewer engines are open to them")
    {
        dispatch(question(), seconds(10));
        const DenserPrompts denser = price.denserPrompts(valuePerSecond(document()), now);
        const double expected = 100 * engineSecondsOf(dataSheetEngine(), question());
        CHECK(denser.busyEngines == Approx(expected).epsilon(0.02));
        CHECK(toSeconds(denser.firstEventTarget) == Approx(0.3).epsilon(0.001));
        CHECK(EngineTimePrice::price(denser, 0, 40, documentSeconds)
              == Approx(valuePerSecond(question()) * documentSeconds));
        CHECK(EngineTimePrice::price(denser, 0, 40, documentSeconds) > document().value);
        CHECK(EngineTimePrice::price(denser, 2, 40, documentSeconds)
              < EngineTimePrice::price(denser, 1, 40, documentSeconds));
        CHECK(EngineTimePrice::price(denser, 8, 40, documentSeconds) == 0);
        // A pool of ten keeps two open at most.
        CHECK(EngineTimePrice::price(denser, 2, 10, documentSeconds) == 0);
    }
    SECTION("nothing for the densest prompts themselves")
    {
        dispatch(document(), seconds(5));
        dispatch(question(), seconds(5));
        CHECK(price.denserPrompts(valuePerSecond(question()), now).busyEngines == 0);
    }
    SECTION("nor for the sake of late ones")
    {
        PromptDemand late = question();
        late.elapsed = late.firstEventTarget;
        dispatch(late, seconds(5));
        CHECK(price.busyEngines(now) == 0);
    }
    SECTION("and nothing again after the peak")
    {
        dispatch(question(), seconds(5));
        CHECK(price.busyEngines(now + seconds(20)) < 0.01);
    }
}

TEST_CASE("Documents leave engines to questions that arrive meanwhile",
          "[Gateway][EngineTimePrice]")
{
    constexpr std::size_t EngineCount = 8;
    ForwardBench bench;
    for (std::size_t index = 0; index < EngineCount; ++index)
        bench.addServer("engine-" + std::to_string(index), "engines");
    const ServerPool &pool = bench.configuration.pools.at("engines");
    PromptPlacement &placement = bench.promptPlacement;
    std::uint64_t sequence = 0;
    const auto place = [&](const PromptDemand &demand, const std::set<ServerId> &excluded = {}) {
        return placement.place(pool, demand, excluded, bench.now);
    };
    // Answers take half a second; 250 questions a second ask for twice the engines' time.
    const auto playQuestions = [&](Duration duration) {
        for (const TimePoint end = bench.now + duration; bench.now < end;
             bench.now += milliseconds(4)) {
            ++sequence;
            if (sequence > 125)
                placement.onEnded({1, sequence - 125}, bench.now);
            const PromptPlacementResult result = place(question());
            if (!result.plan)
                continue;
            EnginePrompt prompt;
            prompt.key = {1, sequence};
            prompt.demand = question();
            prompt.dispatchedAt = bench.now;
            prompt.memoryTokens = result.plan->memoryTokens;
            placement.onDispatched(result.plan->server, *pool.engine, prompt, bench.now);
        }
    };

    SECTION("not while there is room")
    {
        CHECK(place(document()).plan);
    }
    SECTION("while questions ask for more than there is")
    {
        playQuestions(seconds(4));
        const PromptPlacementResult refused = place(document());
        CHECK_FALSE(refused.plan);

        AND_THEN("the document is taken once they are done")
        {
            bench.now += seconds(12);
            CHECK(place(document()).plan);
        }
        AND_THEN("a question that is late already yields to the others")
        {
            PromptDemand late = question();
            late.elapsed = milliseconds(400);
            const PromptPlacementResult result = place(late);
            CHECK_FALSE(result.plan);
            CHECK(result.retryAfter >= seconds(2)); // It is late anyway.
        }
    }
}
