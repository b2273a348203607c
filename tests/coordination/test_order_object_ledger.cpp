#include "support/order_simulation.h"

#include <catch2/catch.hpp>

using namespace dotterel;
using namespace dotterel::support;

namespace {

using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

constexpr std::size_t HostCount = 3;

} // namespace

TEST_CASE("An order is claimed by one host only", "[Coordination][OrderObjectLedger]")
{
    OrderSimulation simulation(7, HostCount, makeOrderObjectLedger);
    const auto submit = [&simulation](std::size_t host, const std::string &body = "one",
                                      Duration deadline = Seconds(1)) {
        return simulation.submit(host, "topper", body, deadline);
    };
    const auto verdict = [&simulation](std::size_t orderIndex) {
        return simulation.order(orderIndex).verdict;
    };
    const auto refusal = [&simulation](std::size_t orderIndex) {
        return simulation.order(orderIndex).refusal;
    };
    const auto setFault = [&simulation](std::size_t host, const fakes::ObjectStoreFaults &faults) {
        simulation.store(host).setFaults(faults);
    };

    SECTION("of two concurrent requests one is executed, and a later one gets the recorded answer")
    {
        const std::size_t first = submit(0);
        const std::size_t second = submit(1);
        simulation.run(Milliseconds(500));
        const std::size_t third = submit(2);
        simulation.run(Milliseconds(500));
        CHECK((verdict(first) == Verdict::Ran) != (verdict(second) == Verdict::Ran));
        CHECK(verdict(third) == Verdict::Ran);
        CHECK(simulation.executionCount("topper") == 1);
    }
    SECTION("a key that is reused with another body is refused")
    {
        submit(0);
        simulation.run(Milliseconds(100));
        const std::size_t other = submit(1, "two");
        simulation.run(Milliseconds(100));
        CHECK(refusal(other) == ClaimResult::BodyMismatch);
    }
    SECTION("without a store an order is refused at once as not run, and is executed after "
            "recovery")
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
    SECTION("a claim whose write response is lost is read back, and the order is executed")
    {
        fakes::ObjectStoreFaults faults;
        faults.loseAnswer = 1;
        setFault(0, faults);
        const std::size_t first = submit(0);
        simulation.run(Seconds(1));
        CHECK(verdict(first) == Verdict::Ran);
        CHECK(simulation.executionCount("topper") == 1);
    }
    SECTION("an unresolved claim is refused as not run, and any host can execute the key later")
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
        // The holder cannot reach the store, but has told its peers that the claim is void.
        const std::size_t second = submit(1);
        simulation.run(Seconds(1));
        CHECK(verdict(second) == Verdict::Ran);
        setFault(0, {});
        simulation.run(Seconds(5));
        const std::size_t third = submit(0);
        simulation.run(Seconds(1));
        CHECK(verdict(third) == Verdict::Ran);
        CHECK(simulation.ledger(0).pendingCount() + simulation.ledger(1).pendingCount() == 0);
        CHECK(simulation.executionCount("topper") == 1);
    }
    SECTION("an unresolved claim of a killed host is resolved by a peer, and the key can run later")
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
        CHECK(simulation.executionCount("topper") == 1);
    }
    SECTION("a holder that is suspended between claim and dispatch does not execute the order "
            "after its deadline")
    {
        const std::size_t first = submit(0);
        simulation.suspend(0);
        simulation.run(Seconds(3));
        const std::size_t second = submit(1);
        simulation.run(Seconds(1));
        CHECK(refusal(second) == ClaimResult::OutcomeUnknown);
        simulation.resume(0);
        simulation.run(Seconds(1));
        CHECK(verdict(first) == Verdict::NotRun);
        CHECK(simulation.executionCount("topper") == 0);
        const std::size_t third = submit(2);
        simulation.run(Seconds(1));
        CHECK(verdict(third) == Verdict::Ran);
    }
    SECTION("a holder that resumes before the deadline executes the order, and no other host does")
    {
        const std::size_t first = submit(0, "one", Seconds(10));
        simulation.suspend(0);
        simulation.run(Seconds(3));
        submit(1);
        simulation.resume(0);
        simulation.run(Seconds(1));
        CHECK(verdict(first) == Verdict::Ran);
        CHECK(simulation.executionCount("topper") == 1);
    }
    SECTION("an order whose holder was killed is reported as unknown at once, not as in progress")
    {
        submit(0);
        simulation.run(Milliseconds(15));
        simulation.kill(0);
        const std::size_t second = submit(1);
        simulation.run(Milliseconds(100));
        CHECK(refusal(second) == ClaimResult::OutcomeUnknown);
        CHECK(simulation.order(second).answeredAt < TimePoint(Milliseconds(60)));
    }
    SECTION("an order whose service crashed after executing it is never executed again")
    {
        simulation.setServiceBehaviour([] { return ServiceBehaviour::CrashesAfterRunning; });
        const std::size_t first = submit(0);
        simulation.run(Milliseconds(200));
        CHECK(verdict(first) == Verdict::MayHaveRun);
        for (std::size_t host = 0; host < HostCount; ++host) {
            const std::size_t again = submit(host);
            simulation.run(Milliseconds(200));
            CHECK(refusal(again) == ClaimResult::OutcomeUnknown);
        }
        CHECK(simulation.executionCount("topper") == 1);
    }
    SECTION("an order that the service refused without executing it may be executed later")
    {
        simulation.setServiceBehaviour([] { return ServiceBehaviour::RefusesWithoutRunning; });
        const std::size_t first = submit(0);
        simulation.run(Milliseconds(200));
        CHECK(verdict(first) == Verdict::NotRun);
        simulation.setServiceBehaviour([] { return ServiceBehaviour::Answers; });
        const std::size_t second = submit(1);
        simulation.run(Milliseconds(200));
        CHECK(verdict(second) == Verdict::Ran);
    }
    SECTION("an answer is recorded after a store outage of any length")
    {
        const std::size_t first = submit(0);
        simulation.run(Milliseconds(12));
        fakes::ObjectStoreFaults faults;
        faults.refused = true;
        setFault(0, faults);
        simulation.run(Seconds(30));
        CHECK(verdict(first) == Verdict::Ran);
        CHECK(simulation.ledger(0).pendingCount() == 1);
        const std::size_t sameHost = submit(0);
        simulation.run(Milliseconds(50));
        CHECK(verdict(sameHost) == Verdict::Ran);
        setFault(0, {});
        simulation.run(Seconds(3));
        CHECK(simulation.ledger(0).pendingCount() == 0);
        const std::size_t otherHost = submit(1);
        simulation.run(Milliseconds(100));
        CHECK(verdict(otherHost) == Verdict::Ran);
    }
}
