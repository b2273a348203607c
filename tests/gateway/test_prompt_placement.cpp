#include "gateway/prompt_placement.h"

#include "support/forward_bench.h"

#include <catch2/catch.hpp>
#include <deque>

using namespace dotterel;
using namespace dotterel::support;
using std::chrono::milliseconds;

namespace {

/// Simulates a pool of identical engines in virtual time. Engines take exactly the time that
/// PromptPlacement predicts from their published profile.
struct EngineSimulation
{
    explicit EngineSimulation(std::size_t servers)
        : fleet(ServerFleetTimings{}, this->log)
        , placement(PromptPlacementSettings{}, "centro-a", this->fleet, this->random)
    {
        for (std::size_t index = 0; index < servers; ++index) {
            GatewayServer server;
            server.id = "engine-" + std::to_string(index);
            server.pool = "engines";
            server.failureDomain = "centro-a";
            this->fleet.put(server, this->now);
        }
    }

    static PromptDemand demand(std::uint64_t tokens, int targetMs, int gapMs)
    {
        PromptDemand result;
        result.promptTokens = tokens;
        result.outputTokens = 1'000;
        result.firstEventTarget = milliseconds(targetMs);
        result.maxEventGap = milliseconds(gapMs);
        result.callerTimeLeft = std::chrono::seconds(10);
        result.value = promptValue(PromptValueModel{}, tokens, 1'000, result.maxEventGap, 1);
        return result;
    }
    static PromptDemand shortPrompt() { return demand(5'000, 300, 250); }
    static PromptDemand hugePrompt(std::uint64_t tokens) { return demand(tokens, 4'000, 1'000); }

    /// Places and dispatches a prompt; returns nullopt if it is refused.
    std::optional<PromptPlan> send(const PromptDemand &demand)
    {
        const PromptPlacementResult decision =
                this->placement.place(this->pool, demand, {}, this->now);
        if (!decision.plan)
            return std::nullopt;
        EnginePrompt prompt;
        prompt.key = {1, ++this->sequence};
        prompt.demand = demand;
        prompt.prefillEngines = decision.plan->helpers.size() + 1;
        prompt.dispatchedAt = this->now;
        prompt.memoryTokens = decision.plan->memoryTokens;
        this->placement.onDispatched(decision.plan->server, *this->pool.engine, prompt, this->now);
        prompt.isHelper = true;
        for (const PrefillHelper &helper : decision.plan->helpers) {
            prompt.memoryTokens = helper.memoryTokens;
            this->placement.onDispatched(helper.server, *this->pool.engine, prompt, this->now);
        }
        this->events.push_back({this->now + decision.plan->timeToFirstEvent, prompt.key, false});
        const Duration decodeTime = fromSeconds(1.31e-3 * static_cast<double>(demand.outputTokens));
        this->events.push_back(
                {this->now + decision.plan->timeToFirstEvent + decodeTime, prompt.key, true});
        return decision.plan;
    }

    void advance(Duration time)
    {
        this->now += time;
        for (auto event = this->events.begin(); event != this->events.end();) {
            if (event->eventTime > this->now) {
                ++event;
                continue;
            }
            if (event->isEnd)
                this->placement.onEnded(event->key, this->now);
            else
                this->placement.onFirstEvent(event->key, this->now);
            event = this->events.erase(event);
        }
    }

    struct Event
    {
        TimePoint eventTime;
        PromptKey key;
        bool isEnd;
    };

    TimePoint now{std::chrono::seconds(100)};
    NullEventLog log;
    SeededRandom random{5};
    ServerPool pool{"engines", 374, dataSheetEngine()};
    ServerFleet fleet;
    PromptPlacement placement;
    std::uint64_t sequence = 0;
    std::deque<Event> events;
};

} // namespace

TEST_CASE("Short prompts that are decoded and huge prompts in prefill do not share an engine",
          "[Gateway][PromptPlacement]")
{
    EngineSimulation simulation(14);
    const auto first = simulation.send(EngineSimulation::shortPrompt());
    REQUIRE(first);
    simulation.advance(milliseconds(150));

    SECTION("a huge prompt goes to another engine while a short one is decoded")
    {
        const auto huge = simulation.send(EngineSimulation::hugePrompt(180'000));
        REQUIRE(huge);
        CHECK(huge->server != first->server);
        for (const PrefillHelper &helper : huge->helpers)
            CHECK(helper.server != first->server);
        SECTION("and further short prompts avoid the engine of the huge one")
        {
            for (int count = 0; count < 20; ++count) {
                const auto next = simulation.send(EngineSimulation::shortPrompt());
                REQUIRE(next);
                CHECK(next->server != huge->server);
                simulation.advance(milliseconds(20));
            }
        }
    }
    SECTION("short prompts are packed on few engines, so that the others stay free")
    {
        std::set<ServerId> usedServers;
        for (int count = 0; count < 40; ++count) {
            usedServers.insert(simulation.send(EngineSimulation::shortPrompt())->server);
            simulation.advance(milliseconds(100));
        }
        CHECK(usedServers.size() <= 5);
    }
}

TEST_CASE("First events stay in time when load alternates between huge and short prompts",
          "[Gateway][PromptPlacement]")
{
    // Phases as in the users' load: 2 huge and 9 short prompts per second, then 67 short prompts
    // per second, for 9.5 s each.
    EngineSimulation simulation(14);
    SeededRandom random(11);
    std::size_t shortCount = 0;
    std::size_t shortsInTime = 0;
    std::size_t hugeCount = 0;
    std::size_t hugeInTime = 0;
    const auto runPhase = [&](double shortRate, double hugeRate) {
        for (int step = 0; step < 950; ++step) {
            if (random.nextDouble() < shortRate * 0.01) {
                ++shortCount;
                const auto plan = simulation.send(EngineSimulation::shortPrompt());
                shortsInTime += plan && plan->timeToFirstEvent < milliseconds(300) ? 1 : 0;
            }
            if (random.nextDouble() < hugeRate * 0.01) {
                ++hugeCount;
                const auto plan = simulation.send(
                        EngineSimulation::hugePrompt(100'000 + random.nextBelow(160'000)));
                hugeInTime += plan && plan->timeToFirstEvent < milliseconds(4'000) ? 1 : 0;
            }
            simulation.advance(milliseconds(10));
        }
    };
    runPhase(9, 2.0);
    runPhase(67, 0.04);
    runPhase(9, 2.0);
    CHECK(static_cast<double>(shortsInTime) >= 0.97 * static_cast<double>(shortCount));
    CHECK(static_cast<double>(hugeInTime) >= 0.80 * static_cast<double>(hugeCount));
}

TEST_CASE("The prefill of a huge prompt is shared when one engine would be late",
          "[Gateway][PromptPlacement]")
{
    EngineSimulation simulation(14);
    SECTION("200,000 tokens, which take 4.6 s on one engine, are shared by several")
    {
        const auto plan = simulation.send(EngineSimulation::hugePrompt(200'000));
        REQUIRE(plan);
        CHECK_FALSE(plan->helpers.empty());
        CHECK(plan->timeToFirstEvent < milliseconds(3'500));
    }
    SECTION("a prompt that exceeds the memory of one engine reserves the rest on its helpers")
    {
        const auto plan = simulation.send(EngineSimulation::hugePrompt(500'000));
        REQUIRE(plan);
        std::uint64_t held = plan->memoryTokens;
        for (const PrefillHelper &helper : plan->helpers)
            held += helper.memoryTokens;
        CHECK(held == 501'000);
        CHECK(plan->memoryTokens <= 405'000);
    }
    SECTION("a second huge prompt uses other engines, since its shares would delay the first one")
    {
        const auto first = simulation.send(EngineSimulation::hugePrompt(250'000));
        const auto second = simulation.send(EngineSimulation::hugePrompt(250'000));
        REQUIRE(first);
        REQUIRE(second);
        std::set<ServerId> usedServers = {first->server};
        for (const PrefillHelper &helper : first->helpers)
            usedServers.insert(helper.server);
        CHECK(usedServers.count(second->server) == 0);
        for (const PrefillHelper &helper : second->helpers)
            CHECK(usedServers.count(helper.server) == 0);
    }
}

TEST_CASE("A prompt that cannot be answered in time is refused immediately",
          "[Gateway][PromptPlacement]")
{
    EngineSimulation simulation(2);
    // Both engines are busy with prefill for a long time.
    for (int count = 0; count < 4; ++count) {
        PromptDemand longPrompt = EngineSimulation::hugePrompt(180'000);
        longPrompt.firstEventTarget = std::chrono::seconds(60);
        longPrompt.callerTimeLeft = std::chrono::seconds(60);
        simulation.send(longPrompt);
    }
    const PromptPlacementResult refused = simulation.placement.place(
            simulation.pool, EngineSimulation::shortPrompt(), {}, simulation.now);
    CHECK_FALSE(refused.plan);
    CHECK(refused.hasUsableServer);
    CHECK(refused.retryAfter >= milliseconds(200));

    SECTION("but a retry after the target time is accepted if an engine is idle")
    {
        EngineSimulation idleEngines(2);
        PromptDemand retry = EngineSimulation::shortPrompt();
        retry.elapsed = std::chrono::seconds(2);
        retry.refusedBefore = true;
        CHECK(idleEngines.send(retry));
    }
    SECTION("and a pool without servers reports that no server is usable")
    {
        EngineSimulation emptyPool(0);
        CHECK_FALSE(
                emptyPool.placement
                        .place(emptyPool.pool, EngineSimulation::shortPrompt(), {}, emptyPool.now)
                        .hasUsableServer);
    }
}

TEST_CASE("A host that starts under load spares the engines that work for other hosts",
          "[Gateway][PromptPlacement]")
{
    // Rolling restarts and the loss of all hosts: a host that starts knows no prompt in flight.
    EngineSimulation running(2);
    EngineSimulation started(2);
    const auto huge = running.send(EngineSimulation::hugePrompt(60'000));
    REQUIRE(huge);
    REQUIRE(huge->helpers.empty());
    running.advance(milliseconds(100));
    started.now = running.now;
    const PromptKey key{1, running.sequence};
    const auto prefillLeft = running.placement.prefillLeft(huge->server, key);
    REQUIRE(prefillLeft);
    CHECK(*prefillLeft > milliseconds(200));
    CHECK_FALSE(running.placement.prefillLeft("engine-7", key));

    EnginePrompt reported;
    reported.key = key;
    reported.demand = EngineSimulation::hugePrompt(60'000);
    reported.dispatchedAt = started.now - milliseconds(100);
    reported.prefillLeft = prefillLeft;
    const auto report = [&] {
        started.placement.onDispatched(huge->server, *started.pool.engine, reported, started.now);
    };

    SECTION("with the prompts that its peers report")
    {
        report();
        CHECK(started.send(EngineSimulation::shortPrompt())->server != huge->server);
        SECTION("of which each counts once, also if several messages name it")
        {
            report();
            CHECK(started.placement.promptCountOn(huge->server) == 1);
        }
    }
    SECTION("and a prompt that is decoded there is no prefill to wait for")
    {
        reported.prefillLeft = Duration::zero();
        report();
        CHECK(started.placement.prefillLeft(huge->server, key) == Duration::zero());
    }
    SECTION("a reported prompt is forgotten when its caller must have left, counted from dispatch")
    {
        reported.demand.callerTimeLeft = std::chrono::seconds(2);
        reported.dispatchedAt = started.now - std::chrono::seconds(60);
        report();
        started.advance(milliseconds(10));
        started.send(EngineSimulation::shortPrompt());
        CHECK_FALSE(started.placement.prefillLeft(huge->server, key));
    }
}

TEST_CASE("An engine that left a prompt without an event is expected to have more work",
          "[Gateway][PromptPlacement]")
{
    // Replays the load after the loss of all hosts: engines still work for callers of before.
    EngineSimulation simulation(2);
    const auto silent = simulation.send(EngineSimulation::shortPrompt());
    REQUIRE(silent);
    const PromptKey key{1, simulation.sequence};
    simulation.events.clear();
    simulation.advance(milliseconds(600));
    simulation.placement.onSilent(key, simulation.now);
    CHECK(simulation.placement.promptCountOn(silent->server) == 0);

    const auto next = simulation.send(EngineSimulation::shortPrompt());
    REQUIRE(next);
    CHECK(next->server != silent->server);

    SECTION("until another prompt gets its first event there")
    {
        EnginePrompt other;
        other.key = {2, 1};
        other.demand = EngineSimulation::shortPrompt();
        other.dispatchedAt = simulation.now;
        simulation.placement.onDispatched(silent->server, *simulation.pool.engine, other,
                                          simulation.now);
        simulation.placement.onFirstEvent(other.key, simulation.now);
        simulation.placement.onEnded(other.key, simulation.now);
        simulation.advance(milliseconds(10));
        CHECK(simulation.send(EngineSimulation::shortPrompt())->server == silent->server);
    }
    SECTION("or until that work must be done")
    {
        simulation.advance(std::chrono::seconds(4));
        CHECK(simulation.send(EngineSimulation::shortPrompt())->server == silent->server);
    }
}
