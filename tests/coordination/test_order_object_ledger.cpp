#include "support/order_simulation.h"

#include <catch2/catch.hpp>

using namespace dotterel;
using namespace dotterel::support;

namespace {

using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

constexpr std::size_t Hosts = 3;

} // namespace

TEST_CASE("An order is claimed once", "[Coordination][OrderObjectLedger]")
{
    OrderSimulation simulation(7, Hosts, makeOrderObjectLedger);
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
