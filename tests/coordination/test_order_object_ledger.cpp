#include "coordination/order_object_ledger.h"
#include "support/order_simulation.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <map>

using namespace dotterel;
using namespace dotterel::support;

namespace {

using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

constexpr std::size_t Hosts = 3;
constexpr Duration SettleTime = Seconds(6);

std::unique_ptr<OrderLedger> makeLedger(const HostIdentity &identity, ObjectStore &store,
                                        const HostLiveness &liveness, OrderOutcomePeers &peers,
                                        RandomSource &random)
{
    static NullEventLog log;
    return std::make_unique<OrderObjectLedger>(identity, store, liveness, peers, random, log);
}

/// Why an order cannot run any more although no answer of it is recorded.
enum class Doubt {
    None,
    ServiceDied,   ///< The service died after running it.
    HolderStopped, ///< The holder was stopped past the deadline while the service ran it.
    HolderKilled,  ///< The holder was killed before it had an outcome.
    OutcomeLost,   ///< The holder was killed after the answer and before it was recorded.
};

/// What became of the orders of many runs.
struct Tally
{
    int keys = 0;
    int landed = 0;
    int doubled = 0;
    int falseNotRun = 0;
    int unanswered = 0;
    int unsettledOutcomes = 0;
    std::map<Doubt, int> inDoubt;
    std::map<Doubt, int> notLanded;
};

constexpr int Keys = 4;
constexpr int Seeds = 100;

std::string keyName(std::uint64_t key)
{
    return "order-" + std::to_string(key);
}

fakes::ObjectStoreFaults drawFaults(RandomSource &random)
{
    fakes::ObjectStoreFaults faults;
    switch (random.below(6)) {
    case 0:
        faults.refused = true;
        break;
    case 1:
        faults.loseRequest = 0.5;
        break;
    case 2:
        faults.loseAnswer = 0.5;
        faults.stale = 0.5;
        break;
    case 3:
        faults.delayEffect = 0.5;
        faults.stale = 0.5;
        break;
    case 4:
        faults.longest = Milliseconds(300);
        break;
    default:
        break;
    }
    return faults;
}

/// Changes the state of one host.
void disturb(OrderSimulation &simulation, std::size_t host, bool mayKill)
{
    RandomSource &random = simulation.randomSource();
    if (!simulation.isUp(host)) {
        simulation.restart(host);
        return;
    }
    switch (random.below(8)) {
    case 0:
        if (mayKill)
            simulation.kill(host);
        break;
    case 1:
        simulation.freeze(host);
        break;
    case 2:
        if (simulation.isFrozen(host))
            simulation.thaw(host);
        break;
    default:
        simulation.store(host).setFaults(drawFaults(random));
        break;
    }
}

void heal(OrderSimulation &simulation)
{
    for (std::size_t host = 0; host < Hosts; ++host) {
        if (!simulation.isUp(host))
            simulation.restart(host);
        if (simulation.isFrozen(host))
            simulation.thaw(host);
        simulation.store(host).setFaults({});
    }
    simulation.run(SettleTime);
}

Doubt doubtOf(const OrderSimulation &simulation, const std::string &key, bool mayKill)
{
    Doubt doubt = Doubt::None;
    for (std::size_t number = 0; number < simulation.orderCount(); ++number) {
        const SimulatedOrder &order = simulation.order(number);
        if (order.claim.idempotencyKey != key)
            continue;
        if (order.dispatched && order.fate == ServiceFate::DiesAfterRunning)
            return Doubt::ServiceDied;
        if (order.dispatched && order.verdict == Verdict::MayHaveRun)
            return Doubt::HolderStopped;
        if (!order.verdict)
            doubt = Doubt::HolderKilled;
        else if (mayKill && doubt == Doubt::None)
            doubt = Doubt::OutcomeLost;
    }
    return doubt;
}

/// Sends the same few orders through all hosts while hosts, service and store fail, then heals
/// everything and asks once more for each.
void runSeed(std::uint64_t seed, bool mayKill, bool serviceFails, Tally &tally)
{
    OrderSimulation simulation(seed, Hosts, makeLedger);
    RandomSource &random = simulation.randomSource();
    simulation.setFate([&random, serviceFails] {
        const std::uint64_t drawn = serviceFails ? random.below(6) : 2;
        return drawn == 0   ? ServiceFate::DiesAfterRunning
               : drawn == 1 ? ServiceFate::RefusesUnrun
                            : ServiceFate::Answers;
    });
    for (int step = 0; step < 60; ++step) {
        const std::size_t host = random.below(Hosts);
        if (random.below(3) == 0)
            disturb(simulation, host, mayKill);
        else if (simulation.isUp(host))
            simulation.submit(host, keyName(random.below(Keys)), "one",
                              Milliseconds(100 + random.below(900)));
        simulation.run(Milliseconds(random.below(80)));
    }
    heal(simulation);
    simulation.setFate([] { return ServiceFate::Answers; });
    for (int key = 0; key < Keys; ++key) {
        const std::size_t last = simulation.submit(random.below(Hosts), keyName(key));
        simulation.run(Seconds(2));
        const int count = simulation.serviceCount(keyName(key));
        const Doubt cause = doubtOf(simulation, keyName(key), mayKill);
        ++tally.keys;
        tally.landed += count > 0 ? 1 : 0;
        tally.doubled += count > 1 ? 1 : 0;
        tally.notLanded[cause] += count == 0 ? 1 : 0;
        tally.inDoubt[cause] += simulation.order(last).verdict == Verdict::Ran ? 0 : 1;
    }
    for (std::size_t number = 0; number < simulation.orderCount(); ++number) {
        const SimulatedOrder &order = simulation.order(number);
        tally.falseNotRun += order.verdict == Verdict::NotRun && order.ran ? 1 : 0;
        tally.unanswered += !order.verdict && !mayKill ? 1 : 0;
    }
    for (std::size_t host = 0; host < Hosts; ++host)
        tally.unsettledOutcomes += static_cast<int>(simulation.ledger(host).pending());
}

/// Returns what became of the orders of \a seeds runs. DOTTEREL_SHOW_FIGURES has them printed.
Tally runSeeds(int seeds, bool mayKill, bool serviceFails)
{
    Tally tally;
    for (int seed = 1; seed <= seeds; ++seed)
        runSeed(static_cast<std::uint64_t>(seed), mayKill, serviceFails, tally);
    const auto byCause = [](std::map<Doubt, int> &counts) {
        return "no cause " + std::to_string(counts[Doubt::None]) + ", service died "
               + std::to_string(counts[Doubt::ServiceDied]) + ", holder stopped "
               + std::to_string(counts[Doubt::HolderStopped]) + ", holder killed "
               + std::to_string(counts[Doubt::HolderKilled]) + ", outcome lost "
               + std::to_string(counts[Doubt::OutcomeLost]);
    };
    if (std::getenv("DOTTEREL_SHOW_FIGURES") != nullptr)
        WARN("orders " << tally.keys << ", landed " << tally.landed << ", doubled " << tally.doubled
                       << "; in doubt: " << byCause(tally.inDoubt)
                       << "; not landed: " << byCause(tally.notLanded));
    return tally;
}

void checkNothingBroken(Tally tally)
{
    CHECK(tally.doubled == 0);
    CHECK(tally.falseNotRun == 0);
    CHECK(tally.unanswered == 0);
    CHECK(tally.inDoubt[Doubt::None] == 0);
    CHECK(tally.notLanded[Doubt::None] == 0);
    CHECK(tally.unsettledOutcomes == 0);
}

} // namespace

TEST_CASE("An order is claimed once", "[Coordination][OrderObjectLedger]")
{
    OrderSimulation simulation(7, Hosts, makeLedger);
    const auto submit = [&simulation](std::size_t host, const std::string &body = "one",
                                      Duration deadline = Seconds(1)) {
        return simulation.submit(host, "topper", body, deadline);
    };
    const auto verdict = [&simulation](std::size_t number) {
        return simulation.order(number).verdict;
    };
    const auto refusal = [&simulation](std::size_t number) {
        return simulation.order(number).refusal;
    };
    const auto setFault = [&simulation](std::size_t host, const fakes::ObjectStoreFaults &faults) {
        simulation.store(host).setFaults(faults);
    };

    SECTION("two hosts at once: one runs it, the other says so, a later ask gets the answer")
    {
        const std::size_t first = submit(0);
        const std::size_t second = submit(1);
        simulation.run(Milliseconds(500));
        const std::size_t third = submit(2);
        simulation.run(Milliseconds(500));
        CHECK((verdict(first) == Verdict::Ran) != (verdict(second) == Verdict::Ran));
        CHECK(verdict(third) == Verdict::Ran);
        CHECK(simulation.serviceCount("topper") == 1);
    }
    SECTION("the key with another body is refused as not run")
    {
        submit(0);
        simulation.run(Milliseconds(100));
        const std::size_t other = submit(1, "two");
        simulation.run(Milliseconds(100));
        CHECK(refusal(other) == ClaimResult::BodyMismatch);
    }
    SECTION("with no store it is refused at once as not run, and runs when the store is back")
    {
        fakes::ObjectStoreFaults faults;
        faults.refused = true;
        setFault(0, faults);
        const std::size_t first = submit(0);
        simulation.run(Milliseconds(10));
        CHECK(verdict(first) == Verdict::NotRun);
        setFault(0, {});
        const std::size_t second = submit(0);
        simulation.run(Milliseconds(500));
        CHECK(verdict(second) == Verdict::Ran);
    }
    SECTION("a claim whose answer is lost is read back and runs")
    {
        fakes::ObjectStoreFaults faults;
        faults.loseAnswer = 1;
        setFault(0, faults);
        const std::size_t first = submit(0);
        simulation.run(Seconds(1));
        CHECK(verdict(first) == Verdict::Ran);
        CHECK(simulation.serviceCount("topper") == 1);
    }
    SECTION("a claim in doubt is refused as not run, and the key runs later through any host")
    {
        fakes::ObjectStoreFaults faults;
        faults.loseAnswer = 1;
        setFault(0, faults);
        const std::size_t first = submit(0);
        simulation.run(Milliseconds(20));
        faults.refused = true;
        setFault(0, faults);
        simulation.run(Seconds(2));
        CHECK(verdict(first) == Verdict::NotRun);
        CHECK(simulation.order(first).answeredAt < TimePoint(Seconds(1)));
        // The holder cannot reach the store, but its peers know that the claim is void.
        const std::size_t second = submit(1);
        simulation.run(Seconds(1));
        CHECK(verdict(second) == Verdict::Ran);
        setFault(0, {});
        simulation.run(Seconds(5));
        const std::size_t third = submit(0);
        simulation.run(Seconds(1));
        CHECK(verdict(third) == Verdict::Ran);
        CHECK(simulation.ledger(0).pending() + simulation.ledger(1).pending() == 0);
        CHECK(simulation.serviceCount("topper") == 1);
    }
    SECTION("a claim in doubt whose holder dies is settled by a peer, and the key runs later")
    {
        fakes::ObjectStoreFaults faults;
        faults.loseAnswer = 1;
        setFault(0, faults);
        const std::size_t first = submit(0);
        simulation.run(Milliseconds(20));
        faults.refused = true;
        setFault(0, faults);
        simulation.run(Seconds(1));
        CHECK(verdict(first) == Verdict::NotRun);
        simulation.kill(0);
        simulation.run(Seconds(5));
        const std::size_t later = submit(1);
        simulation.run(Seconds(1));
        CHECK(verdict(later) == Verdict::Ran);
        CHECK(simulation.serviceCount("topper") == 1);
    }
    SECTION("a holder that is stopped between claim and dispatch does not run it when it wakes "
            "late")
    {
        const std::size_t first = submit(0);
        simulation.freeze(0);
        simulation.run(Seconds(3));
        const std::size_t second = submit(1);
        simulation.run(Seconds(1));
        CHECK(refusal(second) == ClaimResult::OutcomeUnknown);
        simulation.thaw(0);
        simulation.run(Seconds(1));
        CHECK(verdict(first) == Verdict::NotRun);
        CHECK(simulation.serviceCount("topper") == 0);
        const std::size_t third = submit(2);
        simulation.run(Seconds(1));
        CHECK(verdict(third) == Verdict::Ran);
    }
    SECTION("a holder that wakes in time runs it, and nobody else did")
    {
        const std::size_t first = submit(0, "one", Seconds(10));
        simulation.freeze(0);
        simulation.run(Seconds(3));
        submit(1);
        simulation.thaw(0);
        simulation.run(Seconds(1));
        CHECK(verdict(first) == Verdict::Ran);
        CHECK(simulation.serviceCount("topper") == 1);
    }
    SECTION("an order whose holder died is in doubt at once, not in progress for ever")
    {
        submit(0);
        simulation.run(Milliseconds(15));
        simulation.kill(0);
        const std::size_t second = submit(1);
        simulation.run(Milliseconds(100));
        CHECK(refusal(second) == ClaimResult::OutcomeUnknown);
        CHECK(simulation.order(second).answeredAt < TimePoint(Milliseconds(60)));
    }
    SECTION("an order whose service died after running it never runs again")
    {
        simulation.setFate([] { return ServiceFate::DiesAfterRunning; });
        const std::size_t first = submit(0);
        simulation.run(Milliseconds(200));
        CHECK(verdict(first) == Verdict::MayHaveRun);
        for (std::size_t host = 0; host < Hosts; ++host) {
            const std::size_t again = submit(host);
            simulation.run(Milliseconds(200));
            CHECK(refusal(again) == ClaimResult::OutcomeUnknown);
        }
        CHECK(simulation.serviceCount("topper") == 1);
    }
    SECTION("an order that the service refused unrun may run later")
    {
        simulation.setFate([] { return ServiceFate::RefusesUnrun; });
        const std::size_t first = submit(0);
        simulation.run(Milliseconds(200));
        CHECK(verdict(first) == Verdict::NotRun);
        simulation.setFate([] { return ServiceFate::Answers; });
        const std::size_t second = submit(1);
        simulation.run(Milliseconds(200));
        CHECK(verdict(second) == Verdict::Ran);
    }
    SECTION("an answer is recorded however long the store is away")
    {
        const std::size_t first = submit(0);
        simulation.run(Milliseconds(12));
        fakes::ObjectStoreFaults faults;
        faults.refused = true;
        setFault(0, faults);
        simulation.run(Seconds(30));
        CHECK(verdict(first) == Verdict::Ran);
        CHECK(simulation.ledger(0).pending() == 1);
        const std::size_t here = submit(0);
        simulation.run(Milliseconds(50));
        CHECK(verdict(here) == Verdict::Ran);
        setFault(0, {});
        simulation.run(Seconds(3));
        CHECK(simulation.ledger(0).pending() == 0);
        const std::size_t elsewhere = submit(1);
        simulation.run(Milliseconds(100));
        CHECK(verdict(elsewhere) == Verdict::Ran);
    }
}

TEST_CASE("Orders run at most once whatever fails", "[Coordination][OrderObjectLedger]")
{
    SECTION("store faults and stopped hosts")
    {
        Tally tally = runSeeds(Seeds, false, false);
        checkNothingBroken(tally);
        CHECK(tally.notLanded[Doubt::HolderStopped] == 0);
    }
    SECTION("a service that dies or refuses, too")
    {
        checkNothingBroken(runSeeds(Seeds, false, true));
    }
    SECTION("hosts that are killed and replaced, too")
    {
        checkNothingBroken(runSeeds(Seeds, true, true));
    }
}

TEST_CASE("An order record keeps any answer", "[Coordination][OrderRecord]")
{
    OrderRecord record{"host-1",
                       7,
                       "nonce",
                       "hash",
                       OrderState::Finished,
                       {201, "x/y", std::string{'\xff', '\0', 'z'}}};
    const std::optional<OrderRecord> read = decodeOrderRecord(encodeOrderRecord(record));
    REQUIRE(read);
    CHECK(read->answer.body == record.answer.body);
    CHECK(read->state == OrderState::Finished);
    CHECK_FALSE(decodeOrderRecord("no record"));
    const ServiceAnswer large = recordableAnswer({200, "text/plain", std::string(100'000, 'x')});
    CHECK(large.status == 200);
    CHECK(large.body.size() < 300);
    CHECK(large.body.find("\"bytes\":100000") != std::string::npos);
}

TEST_CASE("An order costs two writes and no read", "[Coordination][OrderObjectLedger]")
{
    const int inFlight = GENERATE(1, 1'000);
    OrderSimulation simulation(3, Hosts, makeLedger);
    for (int i = 0; i < inFlight; ++i)
        simulation.submit(static_cast<std::size_t>(i) % Hosts,
                          keyName(static_cast<std::size_t>(i)));
    simulation.run(Seconds(1));
    if (std::getenv("DOTTEREL_SHOW_FIGURES") != nullptr)
        WARN(inFlight << " in flight: writes " << simulation.storeWrites() << ", reads "
                      << simulation.storeReads());
    CHECK(simulation.storeWrites() == 2 * static_cast<std::uint64_t>(inFlight));
    CHECK(simulation.storeReads() == 0);
}
