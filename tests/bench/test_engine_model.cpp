#include "bench/engine_model.h"

#include <catch2/catch.hpp>

using namespace dotterel;
using namespace dotterel::bench;

TEST_CASE("The engine model follows its settings", "[Bench][EngineModel]")
{
    EventQueue queue;
    EngineSettings settings;
    settings.prefill = {1'000, 1e15};
    settings.chunkTokens = 100;
    settings.memoryTokens = 10'000;
    settings.prefixCacheTokens = 2'048;
    std::map<std::uint64_t, double> done;
    EngineModel engine(queue, settings, 1'024,
                       [&](std::uint64_t id) { done[id] = toSeconds(queue.now() - TimePoint{}); });
    const auto submit = [&](std::uint64_t id, std::int64_t priority, std::uint64_t tokens) {
        EngineWork work;
        work.id = id;
        work.priority = priority;
        work.tokens = tokens;
        engine.submit(work);
    };

    SECTION("higher priority goes on between chunks and waits for the one that runs")
    {
        submit(1, 5, 1'000);
        queue.after(std::chrono::milliseconds(50), [&] { submit(2, 1, 200); });
        queue.run();
        CHECK(done[2] == Approx(0.3));
        CHECK(done[1] == Approx(1.2));
    }
    SECTION("work waits until memory is released")
    {
        submit(1, 1, 8'000);
        submit(2, 1, 4'000);
        queue.after(std::chrono::seconds(20), [&] { engine.release(1); });
        queue.run();
        CHECK(done[1] == Approx(8));
        CHECK(done[2] == Approx(24));
        CHECK(engine.memoryPeak() == 8'000);
    }
    SECTION("a cached prefix is not computed again")
    {
        EngineWork work;
        work.tokens = 2'048;
        work.prefixHashes = {7, 8};
        for (work.id = 1; work.id <= 2; ++work.id)
            engine.submit(work);
        queue.run();
        CHECK(done[2] - done[1] == Approx(0.001));
    }
    SECTION("a frozen engine accepts and does nothing, a dead one forgets")
    {
        engine.setState(EngineState::Frozen);
        submit(1, 1, 100);
        CHECK(engine.report().queuedPromptTokens == 100);
        engine.setState(EngineState::Dead);
        CHECK(engine.report().queuedPromptTokens == 0);
        queue.run();
        CHECK(done.empty());
    }
}
