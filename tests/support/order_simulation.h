#pragma once

#include "coordination/order_ledger.h"
#include "core/event_log.h"
#include "fakes/fake_object_store.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dotterel::support {

/// The behaviour of the simulated service for one order.
enum class ServiceBehaviour {
    Answers,
    RefusesWithoutRunning,
    CrashesAfterRunning,
};

/// An order as submitted by a caller, and its result.
struct SimulatedOrder
{
    OrderClaim claim;
    std::size_t host = 0;
    bool dispatched = false;
    bool ran = false; ///< True if the service executed it for this request.
    ServiceBehaviour behaviour = ServiceBehaviour::Answers;
    std::optional<ClaimResult> refusal; ///< Result of a claim that was not granted.
    std::optional<Verdict> verdict;     ///< Reported to the caller; Ran if it got an answer.
    TimePoint answeredAt{};
};

/// Simulates several hosts with a ledger each over a shared store in virtual time. Each host has a
/// minimal request controller, and all dispatch to one service that counts executions.
class OrderSimulation : public HostLiveness
{
public:
    using Factory = std::function<std::unique_ptr<OrderLedger>(
            const HostIdentity &, ObjectStore &, const HostLiveness &, OrderOutcomeReplicator &,
            RandomSource &)>;

    OrderSimulation(std::uint64_t seed, std::size_t hosts, Factory factory);
    ~OrderSimulation() override;

    /// Submits an order through \a host and returns its index.
    std::size_t submit(std::size_t host, const std::string &key, const std::string &body = "one",
                       Duration deadline = std::chrono::seconds(1));

    void run(Duration duration) { this->time.runFor(duration); }
    void suspend(std::size_t host);
    void resume(std::size_t host);
    void kill(std::size_t host);
    void restart(std::size_t host);
    bool isUp(std::size_t host) const;
    bool isSuspended(std::size_t host) const;
    fakes::FakeObjectStore &store(std::size_t host);
    const OrderLedger &ledger(std::size_t host) const;
    const SimulatedOrder &order(std::size_t orderIndex) const
    {
        return this->orders.at(orderIndex);
    }
    std::size_t orderCount() const { return this->orders.size(); }
    int executionCount(const std::string &key) const;
    std::uint64_t storeReads() const;
    std::uint64_t storeWrites() const;
    void setServiceBehaviour(std::function<ServiceBehaviour()> chooser)
    {
        this->chooseBehaviour = std::move(chooser);
    }
    RandomSource &randomSource() { return this->random; }

    bool isBelievedAlive(const HostId &host, Incarnation incarnation) const override;

private:
    struct Host;
    using HostPointer = std::shared_ptr<Host>;

    void runOnHost(const HostPointer &host, const std::function<void()> &event);
    void tick(const HostPointer &host);
    void onClaim(const HostPointer &host, std::size_t orderIndex, const ClaimOutcome &outcome,
                 TimePoint now);
    void dispatch(const HostPointer &host, std::size_t orderIndex);
    void reportVerdict(const HostPointer &host, std::size_t orderIndex, Verdict verdict);

    fakes::VirtualTime time;
    SeededRandom random;
    fakes::FakeObjects objects;
    Factory factory;
    std::function<ServiceBehaviour()> chooseBehaviour = [] { return ServiceBehaviour::Answers; };
    Incarnation nextIncarnation = 1;
    std::vector<HostPointer> hosts;
    std::vector<SimulatedOrder> orders;
    std::map<std::string, int> executionCounts;
};

/// Creates the ledger that the daemon uses.
std::unique_ptr<OrderLedger> makeOrderObjectLedger(const HostIdentity &identity, ObjectStore &store,
                                                   const HostLiveness &liveness,
                                                   OrderOutcomeReplicator &replicator,
                                                   RandomSource &random);

} // namespace dotterel::support
