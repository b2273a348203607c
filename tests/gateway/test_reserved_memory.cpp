// Memory that engines set aside for prompts and that no prompt uses.

#include "support/forward_bench.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <list>
#include <map>

using namespace dotterel;
using namespace dotterel::support;
using std::chrono::milliseconds;

namespace {

constexpr Duration Step = milliseconds(100);
constexpr Duration OrderTimeout = milliseconds(500);
/// Engines may set memory aside for less than this without a prompt that uses it.
constexpr std::int64_t MaxUnusedMs = 9'000;

/// The memory of the engines of a bench, which carries out orders when the test says so.
class EngineMemory
{
public:
    explicit EngineMemory(ForwardBench &bench)
        : bench(bench)
    {}

    /// Lets the next orders be carried out \a lateBy later and without an answer, each one
    /// \a increase later than the one before.
    void setLate(Duration lateBy, Duration increase)
    {
        this->lateBy = lateBy;
        this->increase = increase;
    }

    /// Lets the next orders be answered at once.
    void setInTime() { this->lateBy.reset(); }

    /// Whether a running prompt uses all memory that is set aside.
    void setInUse(bool inUse) { this->inUse = inUse; }

    void advance(Duration duration)
    {
        this->takeOrders();
        for (const TimePoint end = this->bench.now + duration; this->bench.now < end;) {
            this->bench.advanceTime(Step);
            this->takeOrders();
            this->expire();
        }
    }

    bool isAnySetAside() const { return !this->heldUntil.empty(); }

    std::int64_t longestUnusedMs() const { return this->longestUnused / milliseconds(1); }

private:
    struct Late
    {
        MemoryReservationRequest order;
        TimePoint effectAt;
        TimePoint timeoutAt;
        bool timedOut = false;
    };

    void takeOrders()
    {
        while (this->taken < this->bench.reservationRequests.size()) {
            const MemoryReservationRequest order = this->bench.reservationRequests[this->taken++];
            if (this->lateBy) {
                this->late.push_back({order, this->bench.now + *this->lateBy,
                                      this->bench.now + OrderTimeout, false});
                *this->lateBy += this->increase;
                continue;
            }
            this->carryOut(order);
            if (order.tokens > 0)
                this->bench.controller.onReservationResult(order.reservationId, true,
                                                           this->bench.now);
            else
                this->bench.controller.onMemoryReleased(order.reservationId, this->bench.now);
        }
        for (auto item = this->late.begin(); item != this->late.end();) {
            if (!item->timedOut && this->bench.now >= item->timeoutAt) {
                item->timedOut = true;
                if (item->order.tokens > 0)
                    this->bench.controller.onReservationUnanswered(item->order.reservationId,
                                                                   this->bench.now);
            }
            if (this->bench.now < item->effectAt) {
                ++item;
                continue;
            }
            this->carryOut(item->order);
            item = this->late.erase(item);
        }
    }

    void carryOut(const MemoryReservationRequest &order)
    {
        if (order.tokens > 0) {
            this->unusedSince.emplace(order.reservationId, this->bench.now);
            TimePoint &until = this->heldUntil[order.reservationId];
            until = std::max(until, this->bench.now + order.lifetime);
        } else {
            this->heldUntil.erase(order.reservationId);
            this->unusedSince.erase(order.reservationId);
        }
    }

    void expire()
    {
        for (auto held = this->heldUntil.begin(); held != this->heldUntil.end();) {
            TimePoint &since = this->unusedSince[held->first];
            if (this->inUse)
                since = this->bench.now;
            this->longestUnused = std::max(this->longestUnused, this->bench.now - since);
            if (this->bench.now < held->second) {
                ++held;
                continue;
            }
            this->unusedSince.erase(held->first);
            held = this->heldUntil.erase(held);
        }
    }

    ForwardBench &bench;
    Duration longestUnused = Duration::zero();
    std::optional<Duration> lateBy;
    Duration increase = Duration::zero();
    bool inUse = false;
    std::size_t taken = 0;
    std::list<Late> late;
    std::map<std::string, TimePoint> heldUntil;
    std::map<std::string, TimePoint> unusedSince;
};

void addEngines(ForwardBench &bench)
{
    for (int number = 1; number <= 8; ++number)
        bench.addServer("e-" + std::to_string(number), "engines");
}

} // namespace

TEST_CASE("Memory is not set aside for a prompt that does not begin",
          "[Gateway][ForwardController]")
{
    // Replays an engine that is busy with other streams while helpers set memory aside.
    ForwardBench bench;
    addEngines(bench);
    EngineMemory memory(bench);
    bench.request("/archives/", {{"Tokens", "450000,700"}});
    memory.advance(Step);
    REQUIRE(bench.sentAttempts.size() == 1);
    const auto waitAtBusyEngines = [&](Duration duration) {
        for (const TimePoint end = bench.now + duration; bench.now < end;) {
            for (const SentAttempt &attempt : bench.sentAttempts)
                bench.fleet.onSignOfLife(attempt.header("Server"), bench.now);
            memory.advance(Step);
        }
    };

    SECTION("at an engine that goes on with other streams")
    {
        waitAtBusyEngines(milliseconds(14'800));
        CHECK(memory.longestUnusedMs() < MaxUnusedMs);
    }
    SECTION("nor in the last attempt, which no other can replace")
    {
        bench.failAttempt(0, HttpFailureKind::ConnectionLost, Verdict::MayHaveRun);
        memory.advance(Step);
        REQUIRE(bench.sentAttempts.size() == 2);
        waitAtBusyEngines(milliseconds(14'500));
        CHECK(memory.longestUnusedMs() < MaxUnusedMs);
    }
}

TEST_CASE("Memory is released again after orders that are carried out late",
          "[Gateway][ForwardController]")
{
    // Replays engines that carry out renewals only after the prompt has ended.
    ForwardBench bench;
    addEngines(bench);
    EngineMemory memory(bench);
    const HttpCallId call = bench.request("/archives/", {{"Tokens", "450000,700"}});
    memory.advance(Step);
    REQUIRE(bench.sentAttempts.size() == 1);
    memory.setInUse(true);

    SECTION("renewals that take effect one after the other do not add up")
    {
        memory.setLate(milliseconds(5'000), milliseconds(700));
        memory.advance(milliseconds(6'200));
        memory.setInTime();
        memory.setInUse(false);
        bench.controller.onCallerDisconnected(call, bench.now);
        memory.advance(milliseconds(20'000));
        CHECK(memory.longestUnusedMs() < MaxUnusedMs);
        CHECK_FALSE(memory.isAnySetAside());
        CHECK_FALSE(bench.controller.nextTimer());
    }
    SECTION("a release without an answer is repeated, but not without end")
    {
        memory.setLate(milliseconds(60'000), Duration::zero());
        bench.controller.onCallerDisconnected(call, bench.now);
        const std::size_t first = bench.reservationRequests.size();
        memory.advance(milliseconds(700));
        CHECK(bench.reservationRequests.size() > first);
        memory.advance(milliseconds(5'000));
        CHECK_FALSE(bench.controller.nextTimer());
    }
    SECTION("nor does the host exit before it was repeated")
    {
        memory.setLate(milliseconds(60'000), Duration::zero());
        bench.controller.onCallerDisconnected(call, bench.now);
        CHECK(bench.controller.isReleasingMemory());
        memory.setInTime();
        memory.advance(milliseconds(700));
        CHECK_FALSE(bench.controller.isReleasingMemory());
    }
}

TEST_CASE("A host that was paused does not act on memory that has expired meanwhile",
          "[Gateway][ForwardController]")
{
    ForwardBench bench;
    addEngines(bench);
    bench.request("/archives/", {{"Tokens", "450000,700"}});
    const std::vector<MemoryReservationRequest> orders = bench.reservationRequests;
    const auto grantAll = [&] {
        for (const MemoryReservationRequest &order : orders)
            bench.controller.onReservationResult(order.reservationId, true, bench.now);
    };

    SECTION("before it read the grants")
    {
        bench.now += milliseconds(5'000);
        grantAll();
        CHECK(bench.sentAttempts.empty());
    }
    SECTION("while the prompt was running")
    {
        grantAll();
        REQUIRE(bench.sentAttempts.size() == 1);
        bench.now += milliseconds(5'000);
        bench.controller.onTimer(bench.now);
        CHECK(bench.reservationRequests.size() == orders.size());
    }
}

TEST_CASE("Hosts that choose the same engine for large prompts at once do not wait for its memory",
          "[Gateway][ForwardController]")
{
    // Replays the onset of a phase of large prompts: six hosts get one each at the same moment and
    // know nothing of the others. An engine has room for one, since other prompts hold memory.
    constexpr std::uint64_t FreeTokens = 250'000;
    constexpr std::size_t EngineCount = 8;
    std::list<ForwardBench> hosts;
    for (std::uint32_t number = 1; number <= 6; ++number) {
        addEngines(hosts.emplace_back(number));
        hosts.back().configuration.pools.at("engines").engine->supportsSplitPrefill = false;
        hosts.back().applyConfiguration();
    }
    for (ForwardBench &host : hosts)
        host.request("/archives/", {{"Tokens", "150000,700"}});
    const auto sentNowhere = [&hosts] {
        return std::all_of(hosts.begin(), hosts.end(),
                           [](const ForwardBench &host) { return host.sentAttempts.empty(); });
    };
    CHECK(sentNowhere());

    SECTION("each is sent to an engine of its own as soon as that has set memory aside")
    {
        std::map<ServerId, std::uint64_t> heldTokens;
        for (ForwardBench &host : hosts) {
            for (std::size_t index = 0; index < host.reservationRequests.size(); ++index) {
                const MemoryReservationRequest order = host.reservationRequests[index];
                if (order.tokens == 0)
                    continue;
                const bool fits = heldTokens[order.server] + order.tokens <= FreeTokens;
                heldTokens[order.server] += fits ? order.tokens : 0;
                host.controller.onReservationResult(order.reservationId, fits, host.now);
            }
        }
        std::size_t sentCount = 0;
        for (const ForwardBench &host : hosts)
            sentCount += host.sentAttempts.size();
        CHECK(sentCount == hosts.size());
        CHECK(heldTokens.size() <= EngineCount);
        for (const ForwardBench &host : hosts) {
            for (const SentAttempt &attempt : host.sentAttempts)
                CHECK_FALSE(attempt.header("Helper").empty());
        }
    }
    SECTION("and none is sent to an engine that refused")
    {
        ForwardBench &host = hosts.front();
        const MemoryReservationRequest order = host.reservationRequests.at(0);
        host.controller.onReservationResult(order.reservationId, false, host.now);
        const MemoryReservationRequest next = host.reservationRequests.back();
        CHECK(next.server != order.server);
        host.controller.onReservationResult(next.reservationId, true, host.now);
        REQUIRE(host.sentAttempts.size() == 1);
        CHECK(host.sentAttempts[0].header("Server") == next.server);
    }
}

TEST_CASE("A plan that waited for memory does not overtake what other hosts sent meanwhile",
          "[Gateway][ForwardController]")
{
    // Replays two long prompts at hosts that plan within the time in which engines set memory
    // aside.
    ForwardBench bench;
    for (int number = 1; number <= 16; ++number)
        bench.addServer("e-" + std::to_string(number), "engines");
    bench.request("/archives/", {{"Tokens", "350000,700"}});
    REQUIRE_FALSE(bench.reservationRequests.empty());
    const MemoryReservationRequest first = bench.reservationRequests.front();
    const auto grantAll = [&bench](std::size_t from) {
        const std::size_t end = bench.reservationRequests.size();
        for (std::size_t index = from; index < end; ++index) {
            const MemoryReservationRequest order = bench.reservationRequests[index];
            if (order.tokens > 0)
                bench.controller.onReservationResult(order.reservationId, true, bench.now);
        }
        return end;
    };
    const auto report = [&bench](const ServerId &server) {
        EnginePrompt prompt;
        prompt.key = {77, 1};
        prompt.demand.promptTokens = 250'000;
        prompt.demand.outputTokens = 700;
        prompt.demand.firstEventTarget = std::chrono::seconds(4);
        prompt.demand.maxEventGap = std::chrono::seconds(1);
        prompt.demand.callerTimeLeft = std::chrono::seconds(14);
        prompt.demand.value = 30;
        prompt.prefillEngines = 3;
        prompt.dispatchedAt = bench.now;
        bench.promptPlacement.onDispatched(server, dataSheetEngine(), prompt, bench.now);
    };

    SECTION("but takes other engines")
    {
        report(first.server);
        const std::size_t asked = grantAll(0);
        CHECK(bench.sentAttempts.empty());
        REQUIRE(bench.reservationRequests.size() > asked - 1);
        grantAll(1);
        REQUIRE(bench.sentAttempts.size() == 1);
        CHECK(bench.sentAttempts[0].header("Server") != first.server);
    }
    SECTION("and is carried out as it was made if none did")
    {
        grantAll(0);
        REQUIRE(bench.sentAttempts.size() == 1);
        CHECK(bench.sentAttempts[0].header("Server") == first.server);
    }
}
