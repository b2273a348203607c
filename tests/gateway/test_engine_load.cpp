#include "gateway/engine_load.h"

#include "gateway/slot_queue.h"
#include "support/forward_bench.h"

#include <catch2/catch.hpp>

using namespace dotterel;
using namespace dotterel::support;
using std::chrono::milliseconds;

namespace {

/// One engine in virtual time.
struct EngineBench
{
    PromptKey add(std::uint64_t tokens, std::size_t prefillEngines = 1, bool isHelper = false,
                  std::uint64_t memoryTokens = 0)
    {
        EnginePrompt prompt;
        prompt.key = {1, ++this->sequence};
        prompt.demand.promptTokens = tokens;
        prompt.demand.outputTokens = 1'000;
        prompt.demand.firstEventTarget = std::chrono::seconds(4);
        prompt.demand.maxEventGap = milliseconds(800);
        prompt.demand.callerTimeLeft = std::chrono::seconds(10);
        prompt.demand.value = 30;
        prompt.prefillEngines = prefillEngines;
        prompt.isHelper = isHelper;
        prompt.memoryTokens = memoryTokens;
        prompt.reservesMemory = this->reservesMemory;
        prompt.dispatchedAt = this->now;
        this->load.add(this->engine, prompt, this->now);
        return prompt.key;
    }

    void advance(Duration time)
    {
        this->now += time;
        this->load.advance(this->engine, this->now);
    }

    Duration predict(std::uint64_t tokens) const
    {
        return this->load.predictTimeToFirstEvent(this->engine,
                                                  prefillTime(this->engine, tokens, 1), false);
    }

    Duration shareTime(std::uint64_t tokens, std::size_t prefillEngines) const
    {
        return this->load.predictTimeToFirstEvent(
                this->engine, prefillTime(this->engine, tokens, prefillEngines), true);
    }
    /// Loss of the prompts on the engine if it does a share of 400,000 tokens on four engines.
    double shareLoss() const
    {
        return this->load.interferenceLoss(this->engine, prefillTime(this->engine, 400'000, 4),
                                           400'000, true, 0.25, this->now);
    }

    TimePoint now{std::chrono::seconds(100)};
    EngineProfile engine = dataSheetEngine();
    EngineLoad load;
    std::uint64_t sequence = 0;
    bool reservesMemory = false;
};

} // namespace

TEST_CASE("A prompt over the slots of an engine waits for one that ends", "[Gateway][EngineLoad]")
{
    EngineBench bench;
    bench.engine.slots = 2;
    const PromptKey first = bench.add(5'000);
    const PromptKey second = bench.add(5'000);
    const PromptKey third = bench.add(5'000);
    bench.advance(milliseconds(300));
    bench.load.onFirstEvent(first, bench.now);
    bench.load.onFirstEvent(second, bench.now);
    CHECK(bench.load.prefillLeft(second) == Duration::zero());
    CHECK(bench.load.prefillLeft(third) == prefillTime(bench.engine, 5'000, 1));

    SECTION("in order of arrival")
    {
        bench.advance(milliseconds(500));
        CHECK(bench.load.remove(first, bench.now) == Duration(milliseconds(500)));
        bench.advance(milliseconds(300));
        CHECK(*bench.load.prefillLeft(third) <= milliseconds(1));
    }
    SECTION("which takes the mean answer time divided by the slots for each prompt ahead")
    {
        SlotQueue queue;
        CHECK(queue.wait(bench.engine, 1'000, 2) == milliseconds(655));
        queue.onAnswered(milliseconds(500));
        CHECK(queue.wait(bench.engine, 1'000, 1) == Duration::zero());
        CHECK(queue.wait(bench.engine, 1'000, 2) == milliseconds(250));
        CHECK(queue.wait(bench.engine, 1'000, 3) == milliseconds(500));
    }
}

TEST_CASE("A prompt that arrives during the pass of a long one waits for the end of that pass",
          "[Gateway][EngineLoad]")
{
    // Short prompts that come shortly before the first event of a long one.
    EngineBench bench;
    const PromptKey stream = bench.add(5'000);
    bench.advance(milliseconds(150));
    bench.load.onFirstEvent(stream, bench.now);
    const Duration longTime = bench.predict(45'000);
    const PromptKey longPrompt = bench.add(45'000);
    bench.advance(longTime - milliseconds(200));
    const Duration prefill = prefillTime(bench.engine, 5'000, 1);
    CHECK(bench.predict(5'000) >= milliseconds(200) + prefill);

    SECTION("until the first event of the long one shows that it is over")
    {
        bench.load.onFirstEvent(longPrompt, bench.now);
        CHECK(bench.predict(5'000) < milliseconds(200));
    }
}

TEST_CASE("Shares of long prompts run ahead of all that came before", "[Gateway][EngineLoad]")
{
    // Long prompts that keep coming, each on several engines.
    EngineBench bench;
    const PromptKey whole = bench.add(90'000);
    const PromptKey older = bench.add(300'000, 4);
    const Duration wholeTime = prefillTime(bench.engine, 90'000, 1);
    const Duration shareTime = prefillTime(bench.engine, 300'000, 4);
    bench.advance(milliseconds(500));
    CHECK(bench.load.prefillLeft(whole) == wholeTime);
    CHECK(bench.load.prefillLeft(older) == shareTime - milliseconds(500));

    SECTION("so that a share neither waits at the first engine nor at the others")
    {
        CHECK(bench.shareTime(200'000, 2)
              < prefillTime(bench.engine, 200'000, 2) + milliseconds(50));
        CHECK(bench.predict(5'000) > wholeTime + shareTime - milliseconds(500));
    }
    SECTION("and those before it wait until it is done")
    {
        const PromptKey newer = bench.add(200'000, 2, true);
        bench.advance(prefillTime(bench.engine, 200'000, 2));
        CHECK(bench.load.prefillLeft(newer) == std::nullopt);
        CHECK(bench.load.prefillLeft(older) == shareTime - milliseconds(500));
        bench.advance(shareTime);
        CHECK(*bench.load.prefillLeft(whole) < wholeTime);
    }
    SECTION("which makes the older ones late")
    {
        CHECK(bench.shareLoss() > 20);
    }
}

TEST_CASE("A share that is done loses nothing by further ones", "[Gateway][EngineLoad]")
{
    EngineBench bench;
    const PromptKey giant = bench.add(300'000, 4, true, 200'000);
    CHECK(bench.shareLoss() > 5);
    bench.advance(prefillTime(bench.engine, 300'000, 4));
    CHECK(bench.shareLoss() == 0);
    bench.load.onFirstEvent(giant, bench.now);
    CHECK(bench.shareLoss() == 0);
    CHECK(bench.load.memoryTokens() == 200'000);
}

TEST_CASE("A prompt that would lose its reserved memory is not overtaken once more",
          "[Gateway][EngineLoad]")
{
    // Newer shares overtook a late prompt until its memory was given up after 8 s.
    EngineBench bench;
    bench.reservesMemory = GENERATE(false, true);
    bench.add(200'000);
    bench.add(400'000, 4, true);
    bench.advance(milliseconds(3'000));
    bench.add(90'000, 2, true);
    bench.advance(milliseconds(1'000));
    if (bench.reservesMemory)
        CHECK(bench.shareLoss() > 30 * 0.25 * 0.9);
    else
        CHECK(bench.shareLoss() < 30 * 0.25);
}
