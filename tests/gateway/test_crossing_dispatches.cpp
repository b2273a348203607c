#include "gateway/crossing_dispatches.h"

#include "gateway/prompt_placement.h"
#include "support/forward_bench.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <map>

using namespace dotterel;
using namespace dotterel::support;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t EngineCount = 78;
constexpr std::size_t SlotCount = 12;
/// Time until all hosts know of a dispatch, a first event or an end.
constexpr Duration ReportDelay = milliseconds(8);
constexpr double MeanAnswerSeconds = 1.9;

/// Many hosts that place prompts on the same engines in virtual time. Each host dispatches so
/// rarely that it knows no more than the others, so that one placement, which learns everything
/// after the report delay, stands for all of them.
struct ManyHosts
{
    ManyHosts()
        : fleet(ServerFleetTimings{}, this->log)
        , placement(PromptPlacementSettings{}, "centro-a", this->fleet, this->random)
    {
        this->pool.engine->slots = SlotCount;
        for (std::size_t index = 0; index < EngineCount; ++index) {
            GatewayServer server;
            server.id = "engine-" + std::to_string(index);
            server.pool = "engines";
            server.failureDomain = "centro-a";
            this->fleet.put(server, this->now);
        }
    }

    void send(const PromptDemand &demand)
    {
        const PromptPlacementResult decision =
                this->placement.place(this->pool, demand, {}, this->now);
        ++this->sentCount;
        if (!decision.plan)
            return;
        const ServerId &server = decision.plan->server;
        if (this->promptsOn[server] >= SlotCount && this->promptCount < EngineCount * SlotCount)
            ++this->overSlotsCount;
        EnginePrompt prompt;
        prompt.key = {1, ++this->sequence};
        prompt.demand = demand;
        prompt.dispatchedAt = this->now;
        prompt.memoryTokens = decision.plan->memoryTokens;
        prompt.isReported = true;
        ++this->promptsOn[server];
        ++this->promptCount;
        const TimePoint firstEventAt = this->now + decision.plan->timeToFirstEvent;
        const TimePoint endsAt =
                firstEventAt
                + fromSeconds(-std::log(1.0 - this->random.nextDouble()) * MeanAnswerSeconds);
        this->schedule(this->now + ReportDelay, [this, server, prompt] {
            this->placement.onDispatched(server, *this->pool.engine, prompt, this->now);
        });
        this->schedule(firstEventAt + ReportDelay,
                       [this, prompt] { this->placement.onFirstEvent(prompt.key, this->now); });
        this->schedule(endsAt, [this, server] {
            --this->promptsOn[server];
            --this->promptCount;
        });
        this->schedule(endsAt + ReportDelay,
                       [this, prompt] { this->placement.onEnded(prompt.key, this->now); });
    }

    void schedule(TimePoint time, std::function<void()> action)
    {
        this->actions.emplace(time, std::move(action));
    }

    /// Advances by a millisecond.
    void advance()
    {
        this->now += milliseconds(1);
        while (!this->actions.empty() && this->actions.begin()->first <= this->now) {
            const auto action = this->actions.begin()->second;
            this->actions.erase(this->actions.begin());
            action();
        }
    }

    TimePoint now{std::chrono::seconds(100)};
    NullEventLog log;
    SeededRandom random{23};
    ServerPool pool{"engines", 648, dataSheetEngine()};
    ServerFleet fleet;
    PromptPlacement placement;
    std::uint64_t sequence = 0;
    std::multimap<TimePoint, std::function<void()>> actions;
    std::map<ServerId, std::size_t> promptsOn;
    std::size_t promptCount = 0;
    std::size_t sentCount = 0;
    std::size_t overSlotsCount = 0;
};

PromptDemand promptDemand(std::uint64_t tokens, int targetMs, int gapMs)
{
    PromptDemand demand;
    demand.promptTokens = tokens;
    demand.outputTokens = 2'000;
    demand.firstEventTarget = milliseconds(targetMs);
    demand.maxEventGap = milliseconds(gapMs);
    demand.callerTimeLeft = std::chrono::seconds(10);
    const PromptValueModel model;
    demand.value = promptValue(model, tokens, demand.outputTokens, demand.maxEventGap,
                               model.referenceRank);
    return demand;
}

} // namespace

TEST_CASE("Hosts that place prompts at the same time spread them over the engines",
          "[Gateway][CrossingDispatches]")
{
    // Replays the peak of the users' largest deployment: 400 short prompts a second of 82 hosts,
    // long ones between them, and 81 in 100 slots in use.
    ManyHosts hosts;
    const auto run = [&hosts](int milliseconds, double shortRate, double longRate) {
        for (int step = 0; step < milliseconds; ++step) {
            if (hosts.random.nextDouble() < shortRate / 1'000.0)
                hosts.send(promptDemand(5'000, 300, 200));
            if (hosts.random.nextDouble() < longRate / 1'000.0)
                hosts.send(promptDemand(45'000, 1'500, 500));
            hosts.advance();
        }
    };
    run(3'000, 400, 0);
    hosts.sentCount = 0;
    hosts.overSlotsCount = 0;

    SECTION("so that at most 3 in 100 go over the slots of an engine while others have free ones")
    {
        run(4'000, 400, 12);
        CHECK(hosts.promptCount > 600);
        CHECK(static_cast<double>(hosts.overSlotsCount)
              <= 0.03 * static_cast<double>(hosts.sentCount));
    }
}

TEST_CASE("The number of dispatches that cross follows the reports of other hosts",
          "[Gateway][CrossingDispatches]")
{
    CrossingDispatches crossings;
    TimePoint now{std::chrono::seconds(100)};
    CHECK(crossings.expected(now) == 0);
    for (int report = 0; report < 800; ++report) {
        now += std::chrono::microseconds(2'500);
        crossings.onReported(now);
    }
    CHECK(crossings.expected(now) == Approx(3.6).epsilon(0.05));
    SECTION("and falls when they cease")
    {
        CHECK(crossings.expected(now + std::chrono::seconds(3)) < 0.01);
    }
}
