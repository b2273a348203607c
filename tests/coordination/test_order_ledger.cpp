#include "support/order_simulation.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <map>

using namespace dotterel;
using namespace dotterel::support;

namespace {

using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

constexpr std::size_t HostCount = 3;
constexpr Duration RecoveryTime = Seconds(6);

/// Why an order cannot be executed any more although no answer is recorded.
enum class FailureCause {
    None,
    ServiceCrashed,  ///< The service crashed after executing it.
    HolderSuspended, ///< The holder was suspended past the deadline while the service executed it.
    HolderKilled,    ///< The holder was killed before it received an outcome.
    OutcomeLost,     ///< The holder was killed after the answer arrived and before it was recorded.
};

/// Counts of the results of the orders of many simulations.
struct Tally
{
    int keys = 0;
    int executed = 0;
    int executedTwice = 0;
    int wronglyNotRun = 0;
    int unanswered = 0;
    int pendingOutcomes = 0;
    std::map<FailureCause, int> inDoubt;
    std::map<FailureCause, int> notExecuted;
};

constexpr int KeyCount = 4;
constexpr int SeedCount = 100;

std::string keyName(std::uint64_t key)
{
    return "order-" + std::to_string(key);
}

fakes::ObjectStoreFaults randomFaults(RandomSource &random)
{
    fakes::ObjectStoreFaults faults;
    switch (random.nextBelow(6)) {
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

/// Injects a random fault into one host, or restarts it if it is down.
void injectFault(OrderSimulation &simulation, std::size_t host, bool killHosts)
{
    RandomSource &random = simulation.randomSource();
    if (!simulation.isUp(host)) {
        simulation.restart(host);
        return;
    }
    switch (random.nextBelow(8)) {
    case 0:
        if (killHosts)
            simulation.kill(host);
        break;
    case 1:
        simulation.suspend(host);
        break;
    case 2:
        if (simulation.isSuspended(host))
            simulation.resume(host);
        break;
    default:
        simulation.store(host).setFaults(randomFaults(random));
        break;
    }
}

void clearFaults(OrderSimulation &simulation)
{
    for (std::size_t host = 0; host < HostCount; ++host) {
        if (!simulation.isUp(host))
            simulation.restart(host);
        if (simulation.isSuspended(host))
            simulation.resume(host);
        simulation.store(host).setFaults({});
    }
    simulation.run(RecoveryTime);
}

FailureCause findFailureCause(const OrderSimulation &simulation, const std::string &key,
                              bool killHosts)
{
    FailureCause cause = FailureCause::None;
    for (std::size_t orderIndex = 0; orderIndex < simulation.orderCount(); ++orderIndex) {
        const SimulatedOrder &order = simulation.order(orderIndex);
        if (order.claim.idempotencyKey != key)
            continue;
        if (order.dispatched && order.behaviour == ServiceBehaviour::CrashesAfterRunning)
            return FailureCause::ServiceCrashed;
        if (order.dispatched && order.verdict == Verdict::MayHaveRun)
            return FailureCause::HolderSuspended;
        if (!order.verdict)
            cause = FailureCause::HolderKilled;
        else if (killHosts && cause == FailureCause::None)
            cause = FailureCause::OutcomeLost;
    }
    return cause;
}

/// Submits the same few orders through all hosts while hosts, service and store fail, then clears
/// all faults and submits each order once more.
void simulateSeed(std::uint64_t seed, bool killHosts, bool failService, Tally &tally)
{
    OrderSimulation simulation(seed, HostCount, makeOrderObjectLedger);
    RandomSource &random = simulation.randomSource();
    simulation.setServiceBehaviour([&random, failService] {
        const std::uint64_t choice = failService ? random.nextBelow(6) : 2;
        return choice == 0   ? ServiceBehaviour::CrashesAfterRunning
               : choice == 1 ? ServiceBehaviour::RefusesWithoutRunning
                             : ServiceBehaviour::Answers;
    });
    for (int step = 0; step < 60; ++step) {
        const std::size_t host = random.nextBelow(HostCount);
        if (random.nextBelow(3) == 0)
            injectFault(simulation, host, killHosts);
        else if (simulation.isUp(host))
            simulation.submit(host, keyName(random.nextBelow(KeyCount)), "one",
                              Milliseconds(100 + random.nextBelow(900)));
        simulation.run(Milliseconds(random.nextBelow(80)));
    }
    clearFaults(simulation);
    simulation.setServiceBehaviour([] { return ServiceBehaviour::Answers; });
    for (int key = 0; key < KeyCount; ++key) {
        const std::size_t last = simulation.submit(random.nextBelow(HostCount), keyName(key));
        simulation.run(Seconds(2));
        const int count = simulation.executionCount(keyName(key));
        const FailureCause cause = findFailureCause(simulation, keyName(key), killHosts);
        ++tally.keys;
        tally.executed += count > 0 ? 1 : 0;
        tally.executedTwice += count > 1 ? 1 : 0;
        tally.notExecuted[cause] += count == 0 ? 1 : 0;
        tally.inDoubt[cause] += simulation.order(last).verdict == Verdict::Ran ? 0 : 1;
    }
    for (std::size_t orderIndex = 0; orderIndex < simulation.orderCount(); ++orderIndex) {
        const SimulatedOrder &order = simulation.order(orderIndex);
        tally.wronglyNotRun += order.verdict == Verdict::NotRun && order.ran ? 1 : 0;
        tally.unanswered += !order.verdict && !killHosts ? 1 : 0;
    }
    for (std::size_t host = 0; host < HostCount; ++host)
        tally.pendingOutcomes += static_cast<int>(simulation.ledger(host).pendingCount());
}

/// Returns the result counts of \a seeds simulations. Prints them if DOTTEREL_SHOW_FIGURES is set.
Tally simulateSeeds(int seeds, bool killHosts, bool failService)
{
    Tally tally;
    for (int seed = 1; seed <= seeds; ++seed)
        simulateSeed(static_cast<std::uint64_t>(seed), killHosts, failService, tally);
    const auto byCause = [](std::map<FailureCause, int> &counts) {
        return "no cause " + std::to_string(counts[FailureCause::None]) + ", service crashed "
               + std::to_string(counts[FailureCause::ServiceCrashed]) + ", holder suspended "
               + std::to_string(counts[FailureCause::HolderSuspended]) + ", holder killed "
               + std::to_string(counts[FailureCause::HolderKilled]) + ", outcome lost "
               + std::to_string(counts[FailureCause::OutcomeLost]);
    };
    if (std::getenv("DOTTEREL_SHOW_FIGURES") != nullptr)
        WARN("orders " << tally.keys << ", executed " << tally.executed << ", executed twice "
                       << tally.executedTwice << "; in doubt: " << byCause(tally.inDoubt)
                       << "; not executed: " << byCause(tally.notExecuted));
    return tally;
}

void checkInvariants(Tally tally)
{
    CHECK(tally.executedTwice == 0);
    CHECK(tally.wronglyNotRun == 0);
    CHECK(tally.unanswered == 0);
    CHECK(tally.inDoubt[FailureCause::None] == 0);
    CHECK(tally.notExecuted[FailureCause::None] == 0);
    CHECK(tally.pendingOutcomes == 0);
}

} // namespace

TEST_CASE("Orders are executed at most once under any faults", "[Coordination][OrderLedger]")
{
    SECTION("with store faults and suspended hosts")
    {
        Tally tally = simulateSeeds(SeedCount, false, false);
        checkInvariants(tally);
        CHECK(tally.notExecuted[FailureCause::HolderSuspended] == 0);
    }
    SECTION("with a service that crashes or refuses, in addition")
    {
        checkInvariants(simulateSeeds(SeedCount, false, true));
    }
    SECTION("with hosts that are killed and replaced, in addition")
    {
        checkInvariants(simulateSeeds(SeedCount, true, true));
    }
}

TEST_CASE("An order costs two writes and no read of the store", "[Coordination][OrderLedger]")
{
    const int inFlight = GENERATE(1, 1'000);
    OrderSimulation simulation(3, HostCount, makeOrderObjectLedger);
    for (int i = 0; i < inFlight; ++i)
        simulation.submit(static_cast<std::size_t>(i) % HostCount,
                          keyName(static_cast<std::size_t>(i)));
    simulation.run(Seconds(1));
    if (std::getenv("DOTTEREL_SHOW_FIGURES") != nullptr)
        WARN(inFlight << " in flight: writes " << simulation.storeWrites() << ", reads "
                      << simulation.storeReads());
    CHECK(simulation.storeWrites() == 2 * static_cast<std::uint64_t>(inFlight));
    CHECK(simulation.storeReads() == 0);
}
